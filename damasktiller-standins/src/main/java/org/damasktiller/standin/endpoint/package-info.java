/** A stand-in endpoint that answers interactive requests and can be told to fail. */
@NullMarked
package org.damasktiller.standin.endpoint;

import org.jspecify.annotations.NullMarked;

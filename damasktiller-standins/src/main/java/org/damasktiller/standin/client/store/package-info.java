/** Client of the platform's key-value service. */
@NullMarked
package org.damasktiller.standin.client.store;

import org.jspecify.annotations.NullMarked;

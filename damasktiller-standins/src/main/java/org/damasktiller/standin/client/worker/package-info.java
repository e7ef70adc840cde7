/** Client of the platform's workers. */
@NullMarked
package org.damasktiller.standin.client.worker;

import org.jspecify.annotations.NullMarked;

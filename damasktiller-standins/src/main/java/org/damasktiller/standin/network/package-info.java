/** Network in virtual time, for tests and measurements of several members together. */
@NullMarked
package org.damasktiller.standin.network;

import org.jspecify.annotations.NullMarked;

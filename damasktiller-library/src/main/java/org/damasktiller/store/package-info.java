/** The interface through which tables are stored in the platform's key-value service. */
@NullMarked
package org.damasktiller.store;

import org.jspecify.annotations.NullMarked;

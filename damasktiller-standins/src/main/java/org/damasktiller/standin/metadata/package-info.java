/** An in-memory replacement of the platform's store for tests, with fault injection. */
@NullMarked
package org.damasktiller.standin.metadata;

import org.jspecify.annotations.NullMarked;

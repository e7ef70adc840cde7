/** Measures the spread of table changes in virtual time. */
@NullMarked
package org.damasktiller.benchmark.table;

import org.jspecify.annotations.NullMarked;

/** The operators' table: one row for each kind of work. */
@NullMarked
package org.damasktiller.table;

import org.jspecify.annotations.NullMarked;

/**
 * The operators' table, which has one row per kind of work: its format, storage, edits and history.
 */
@NullMarked
package org.damasktiller.table;

import org.jspecify.annotations.NullMarked;

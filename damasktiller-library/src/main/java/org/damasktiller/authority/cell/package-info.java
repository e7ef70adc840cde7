/** Authority over the work of one cell: accepts jobs, binds them to workers and runs each once. */
@NullMarked
package org.damasktiller.authority.cell;

import org.jspecify.annotations.NullMarked;

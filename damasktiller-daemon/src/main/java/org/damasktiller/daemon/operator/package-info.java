/** The operators' HTTP interface: table, status and drain. */
@NullMarked
package org.damasktiller.daemon.operator;

import org.jspecify.annotations.NullMarked;

/** The structured log: one line of JSON for each event. */
@NullMarked
package org.damasktiller.node.log;

import org.jspecify.annotations.NullMarked;

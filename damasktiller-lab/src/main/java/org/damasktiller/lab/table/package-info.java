/** Access to the operators' table in the platform's store, and its conversion to a manifest. */
@NullMarked
package org.damasktiller.lab.table;

import org.jspecify.annotations.NullMarked;

/** The operators' table on the platform: the manifest that its rows make. */
@NullMarked
package org.damasktiller.lab.table;

import org.jspecify.annotations.NullMarked;

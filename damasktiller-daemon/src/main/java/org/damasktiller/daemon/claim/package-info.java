/** Claims at-most-once requests with the owners of claim shards on this VM and others. */
@NullMarked
package org.damasktiller.daemon.claim;

import org.jspecify.annotations.NullMarked;

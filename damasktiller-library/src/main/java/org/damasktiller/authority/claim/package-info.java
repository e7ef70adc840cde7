/** Claims of at-most-once requests: the shards that keep them and the requests that need them. */
@NullMarked
package org.damasktiller.authority.claim;

import org.jspecify.annotations.NullMarked;

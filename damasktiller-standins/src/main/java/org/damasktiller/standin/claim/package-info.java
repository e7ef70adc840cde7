/** Drives claim shards and forwarders against a stand-in store and endpoint in virtual time. */
@NullMarked
package org.damasktiller.standin.claim;

import org.jspecify.annotations.NullMarked;

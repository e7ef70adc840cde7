package org.damasktiller.standin.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimShardOwner;

/** A process that can own the claim shard. */
final class ShardProcess extends SimulatedProcess {

    /** The owner under test. */
    final ClaimShardOwner owner;

    /** Who waits for replies. */
    final Map<Long, Consumer<ClaimAnswer>> questions = new HashMap<>();

    /**
     * Creates a process.
     *
     * @param owner the owner under test
     */
    ShardProcess(ClaimShardOwner owner) {
        this.owner = owner;
    }
}

package org.damasktiller.authority.claim;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Fixes the shard of each key by its hash, the same on every entry VM and in every zone.
 *
 * @param count the number of shards, the same for all processes and never changed while claims are
 *     kept
 */
public record ClaimShards(int count) {

    /** Checks that there is a shard. */
    public ClaimShards {
        if (count < 1) {
            throw new IllegalArgumentException("ClaimShards needs at least one shard");
        }
    }

    /**
     * Returns the shard of a key.
     *
     * @param key the key
     * @return the number of the shard, from zero up to the count
     */
    public int shardOf(ClaimKey key) {
        long hash = Hashing.murmur3_128().hashString(key.text(), StandardCharsets.UTF_8).asLong();
        return Hashing.consistentHash(hash, count);
    }
}

package org.damasktiller.authority.claim;

/** Something that happened to the owner of a claim shard. */
public sealed interface ClaimEvent
        permits ClaimTick,
                ClaimStoreAnswered,
                ClaimStoreFailed,
                AskClaim,
                ReleaseClaim,
                CompleteClaim,
                DrainClaims {}

package org.damasktiller.authority.claim;

/** The entry VM shuts down: the shard is to be given back once every claim is settled. */
public record DrainClaims() implements ClaimEvent {}

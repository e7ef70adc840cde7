package org.damasktiller.authority.claim;

/** Reports that the shard was given back; the owner object is of no more use. */
public record ClaimsReleased() implements ClaimAction {}

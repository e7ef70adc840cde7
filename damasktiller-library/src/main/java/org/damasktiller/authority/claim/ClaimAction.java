package org.damasktiller.authority.claim;

/** Something that the owner of a claim shard asks its driver to do. */
public sealed interface ClaimAction permits ClaimStoreRequest, ClaimReply, ClaimsReleased {}

package org.damasktiller.authority.claim;

/** The answer of a claim shard to a forwarder. */
public sealed interface ClaimAnswer permits ClaimGranted, ClaimTaken, ClaimRefused {}

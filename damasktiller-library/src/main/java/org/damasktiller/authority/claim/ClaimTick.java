package org.damasktiller.authority.claim;

/** Time has passed; to be passed every 10 to 50 milliseconds. */
public record ClaimTick() implements ClaimEvent {}

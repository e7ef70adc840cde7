package org.damasktiller.authority.cell;

/** The answer to a caller. */
public sealed interface JobReply permits JobAnswer, JobRefusal {}

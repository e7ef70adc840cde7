package org.damasktiller.authority.claim;

/** Something that an at-most-once request asks its driver to do. */
public sealed interface ForwarderAction
        permits AskShard, SendRequest, GiveBack, ReportAnswered, FinishRequest {}

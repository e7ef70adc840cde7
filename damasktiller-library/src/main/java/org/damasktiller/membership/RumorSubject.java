package org.damasktiller.membership;

/** Tells what a rumor is about. */
public enum RumorSubject {
    /** An entry VM of the same availability zone. */
    MEMBER,
    /** An endpoint that is leaving, or no longer. */
    ENDPOINT
}

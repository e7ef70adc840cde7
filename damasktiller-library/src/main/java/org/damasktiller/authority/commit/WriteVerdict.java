package org.damasktiller.authority.commit;

/** Tells what became of a write whose answer was lost or negative. */
enum WriteVerdict {
    /** The write took effect. */
    APPLIED,
    /** The write has not taken effect; the same write may be sent again. */
    NOT_APPLIED,
    /** Another owner wrote the key. */
    SUPERSEDED
}

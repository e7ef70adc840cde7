package org.damasktiller.membership;

import org.damasktiller.identity.VmId;

/**
 * Holds what is known of one member.
 *
 * @param id the address of the member
 * @param incarnation the number that rises with each restart and each refuted suspicion
 * @param status what is known of it
 */
public record MemberRecord(VmId id, long incarnation, MemberStatus status) {

    /**
     * Tells whether this knowledge replaces older knowledge of the same member.
     *
     * @param older the knowledge held
     * @return whether the incarnation is higher, or equal with an overriding status
     */
    boolean overrides(MemberRecord older) {
        if (incarnation != older.incarnation) {
            return incarnation > older.incarnation;
        }
        return status.compareTo(older.status) > 0;
    }

    /**
     * Converts the knowledge to a rumor.
     *
     * @return the rumor
     */
    Rumor toRumor() {
        return new Rumor(RumorSubject.MEMBER, id.value(), incarnation, status);
    }
}

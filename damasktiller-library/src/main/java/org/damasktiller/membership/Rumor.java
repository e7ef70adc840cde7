package org.damasktiller.membership;

/**
 * Holds one piece of news that is passed on by gossip.
 *
 * @param subject what it is about
 * @param id the address of the member or the name of the endpoint
 * @param incarnation orders the news about one subject
 * @param status the news
 */
public record Rumor(RumorSubject subject, String id, long incarnation, MemberStatus status) {

    /**
     * Tells whether this news replaces older news of the same subject.
     *
     * @param older the older news
     * @return whether the incarnation is higher, or equal with an overriding status
     */
    boolean overrides(Rumor older) {
        if (incarnation != older.incarnation) {
            return incarnation > older.incarnation;
        }
        return status.compareTo(older.status) > 0;
    }
}

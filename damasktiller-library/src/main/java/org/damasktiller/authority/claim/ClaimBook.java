package org.damasktiller.authority.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.authority.commit.GroupCommitter;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the committed claims of one term and the changes that wait for their commit. At most one
 * change of a key waits. Not safe for use by several threads.
 */
final class ClaimBook {

    /** The codec of the entries. */
    private final ClaimCodec codec = new ClaimCodec();

    /** Where changes are committed. */
    private final GroupCommitter committer;

    /** The committed claims by the text of the key. */
    private final Map<String, ClaimRecord> committed = new HashMap<>();

    /** The texts of the keys in the order of their claims, with keys that were claimed again. */
    private final Deque<ClaimAge> ages = new ArrayDeque<>();

    /** The changes that wait, in the order of their positions. */
    private final Map<String, WaitingClaim> waiting = new LinkedHashMap<>();

    /**
     * Creates the book of a term from the recovered log.
     *
     * @param committer where changes are committed
     */
    ClaimBook(GroupCommitter committer) {
        this.committer = committer;
        committer
                .currentEntries()
                .forEach(entry -> committed.put(entry.key(), codec.decode(entry)));
        committed.entrySet().stream()
                .map(entry -> new ClaimAge(entry.getKey(), entry.getValue().claimedMillis()))
                .sorted(Comparator.comparingLong(ClaimAge::claimedMillis))
                .forEach(ages::add);
    }

    /**
     * Returns where changes are committed.
     *
     * @return the committer of the term
     */
    GroupCommitter committer() {
        return committer;
    }

    /**
     * Returns the number of committed claims.
     *
     * @return the number of claims
     */
    int size() {
        return committed.size();
    }

    /**
     * Returns the number of changes that wait.
     *
     * @return the number of changes
     */
    int waitingCount() {
        return waiting.size();
    }

    /**
     * Returns the committed claim of a key.
     *
     * @param key the text of the key
     * @return the claim, or null if there is none
     */
    @Nullable ClaimRecord committed(String key) {
        return committed.get(key);
    }

    /**
     * Returns the change of a key that waits.
     *
     * @param key the text of the key
     * @return the change, or null if there is none
     */
    @Nullable WaitingClaim waiting(String key) {
        return waiting.get(key);
    }

    /**
     * Appends a change, which takes effect once it is committed.
     *
     * @param key the text of the key, of which no change waits
     * @param record the claim as it will be
     * @param nowMillis the time, in milliseconds
     * @return the change
     */
    WaitingClaim append(String key, ClaimRecord record, long nowMillis) {
        long position = committer.append(codec.encode(key, record));
        WaitingClaim change = new WaitingClaim(record, position, nowMillis);
        waiting.put(key, change);
        return change;
    }

    /**
     * Puts the changes in force that have been committed.
     *
     * @return the changes by the text of the key, in the order of their positions
     */
    Map<String, WaitingClaim> settle() {
        Map<String, WaitingClaim> settled = new LinkedHashMap<>();
        var changes = waiting.entrySet().iterator();
        while (changes.hasNext()) {
            Map.Entry<String, WaitingClaim> entry = changes.next();
            WaitingClaim change = entry.getValue();
            if (change.position() > committer.committed()) {
                break;
            }
            changes.remove();
            ClaimRecord old = committed.put(entry.getKey(), change.record());
            if (old == null || old.claimedMillis() != change.record().claimedMillis()) {
                ages.add(new ClaimAge(entry.getKey(), change.record().claimedMillis()));
            }
            settled.put(entry.getKey(), change);
        }
        return settled;
    }

    /**
     * Takes the questions that have waited too long. A change that is in no group yet is taken
     * back; any other may still be committed.
     *
     * @param sinceMillis when a question must have been asked to wait on, in milliseconds
     * @return the numbers under which to reply
     */
    List<Long> giveUp(long sinceMillis) {
        List<Long> questions = new ArrayList<>();
        var changes = waiting.values().iterator();
        while (changes.hasNext()) {
            WaitingClaim change = changes.next();
            if (change.sinceMillis() >= sinceMillis) {
                break;
            }
            questions.addAll(change.takeQuestions());
            if (committer.withdraw(change.position())) {
                changes.remove();
            }
        }
        return questions;
    }

    /**
     * Takes all questions at the end of the term.
     *
     * @return the numbers under which to reply
     */
    List<Long> takeQuestions() {
        List<Long> questions = new ArrayList<>();
        waiting.values().forEach(change -> questions.addAll(change.takeQuestions()));
        return questions;
    }

    /**
     * Forgets the claims that need not be kept any longer. The log drops them when it is compacted;
     * a successor that still finds one forgets it by the same rule.
     *
     * @param claimedBeforeMillis before which time such a claim was asked for, in milliseconds
     */
    void forget(long claimedBeforeMillis) {
        while (!ages.isEmpty() && ages.element().claimedMillis() < claimedBeforeMillis) {
            ClaimAge oldest = ages.element();
            if (waiting.containsKey(oldest.key())) {
                return;
            }
            ages.remove();
            ClaimRecord record = committed.get(oldest.key());
            if (record != null && record.claimedMillis() == oldest.claimedMillis()) {
                committed.remove(oldest.key());
                committer.forget(oldest.key());
            }
        }
    }
}

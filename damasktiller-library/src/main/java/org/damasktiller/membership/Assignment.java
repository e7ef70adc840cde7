package org.damasktiller.membership;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.damasktiller.identity.VmId;

/**
 * Assigns cells or claim shards to members. Each item prefers members by the hash of both names,
 * and no member gets more than its even share rounded up; a full member keeps the items that hash
 * highest to it. Members with equal views compute the same assignment, whatever the order of
 * events. An assignment says who should own an item; who does own it is decided by the store alone.
 *
 * @param <T> the type of the items, whose text is their identity
 */
public final class Assignment<T extends Comparable<T>> {

    /** The owner of each item. */
    private final ImmutableSortedMap<T, VmId> owners;

    /**
     * Creates an assignment.
     *
     * @param owners the owner of each item
     */
    private Assignment(ImmutableSortedMap<T, VmId> owners) {
        this.owners = owners;
    }

    /**
     * Computes an assignment.
     *
     * @param items the items
     * @param members the members that take new work
     * @param <T> the type of the items
     * @return the assignment; empty if there is no member
     */
    public static <T extends Comparable<T>> Assignment<T> of(
            Collection<T> items, Collection<VmId> members) {
        TreeSet<VmId> ordered = new TreeSet<>(members);
        TreeSet<T> distinct = new TreeSet<>(items);
        ImmutableSortedMap.Builder<T, VmId> owners = ImmutableSortedMap.naturalOrder();
        if (ordered.isEmpty()) {
            return new Assignment<>(owners.build());
        }
        int share = (distinct.size() + ordered.size() - 1) / ordered.size();
        Map<VmId, PriorityQueue<Proposal<T>>> accepted = new HashMap<>();
        Deque<Proposal<T>> waiting = new ArrayDeque<>();
        distinct.forEach(item -> waiting.add(new Proposal<>(item, rank(item, ordered), 0)));
        while (!waiting.isEmpty()) {
            Proposal<T> proposal = waiting.remove();
            PriorityQueue<Proposal<T>> held =
                    accepted.computeIfAbsent(proposal.choice(), member -> new PriorityQueue<>());
            held.add(proposal);
            if (held.size() > share) {
                waiting.add(held.remove().next());
            }
        }
        accepted.forEach(
                (member, held) -> held.forEach(proposal -> owners.put(proposal.item, member)));
        return new Assignment<>(owners.build());
    }

    /**
     * Finds the member that should own an item.
     *
     * @param item the item
     * @return the member, or empty if there is no member or no such item
     */
    public Optional<VmId> owner(T item) {
        return Optional.ofNullable(owners.get(item));
    }

    /**
     * Lists the items that a member should own.
     *
     * @param member the member
     * @return the items in order
     */
    public List<T> itemsOf(VmId member) {
        List<T> items = new ArrayList<>();
        owners.forEach(
                (item, owner) -> {
                    if (owner.equals(member)) {
                        items.add(item);
                    }
                });
        return items;
    }

    /**
     * Orders the members as an item prefers them.
     *
     * @param item the item
     * @param members the members
     * @param <T> the type of the item
     * @return the members with their hashes, the highest first
     */
    private static <T> List<Choice> rank(T item, Collection<VmId> members) {
        List<Choice> choices = new ArrayList<>();
        for (VmId member : members) {
            long hash =
                    Hashing.murmur3_128()
                            .newHasher()
                            .putString(item.toString(), StandardCharsets.UTF_8)
                            .putChar(' ')
                            .putString(member.value(), StandardCharsets.UTF_8)
                            .hash()
                            .asLong();
            choices.add(new Choice(member, hash));
        }
        choices.sort(Comparator.comparingLong(Choice::hash).reversed());
        return choices;
    }

    /**
     * Holds a member with the hash of an item and the member.
     *
     * @param member the member
     * @param hash the hash
     */
    private record Choice(VmId member, long hash) {}

    /**
     * Holds the proposal of an item to the member that it prefers among those left.
     *
     * @param item the item
     * @param choices the members as the item prefers them
     * @param index the index of the member proposed to
     * @param <T> the type of the item
     */
    private record Proposal<T extends Comparable<T>>(T item, List<Choice> choices, int index)
            implements Comparable<Proposal<T>> {

        /**
         * Returns the member proposed to.
         *
         * @return the member
         */
        private VmId choice() {
            return choices.get(index).member();
        }

        /**
         * Proposes to the next member.
         *
         * @return the proposal
         */
        private Proposal<T> next() {
            return new Proposal<>(item, choices, index + 1);
        }

        @Override
        public int compareTo(Proposal<T> other) {
            int byHash =
                    Long.compare(choices.get(index).hash(), other.choices.get(other.index).hash());
            return byHash != 0 ? byHash : item.compareTo(other.item);
        }
    }
}

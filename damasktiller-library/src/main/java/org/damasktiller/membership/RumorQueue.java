package org.damasktiller.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Keeps the news that is still to be passed on, each a limited number of times. */
final class RumorQueue {

    /** How often news is passed on, for each doubling of the number of members. */
    private static final int SENDS_PER_DOUBLING = 3;

    /** The bytes of an encoded rumor besides its identity. */
    private static final int RUMOR_BYTES = 16;

    /** The news by subject. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** The news not yet pushed to others at once. */
    private final List<Rumor> fresh = new ArrayList<>();

    /** Creates an empty queue. */
    RumorQueue() {}

    /**
     * Adds news in place of older news of the same subject.
     *
     * @param rumor the news
     * @param urgent whether to push it to others at once; else it rides on the probes
     */
    void add(Rumor rumor, boolean urgent) {
        entries.put(key(rumor), new Entry(rumor));
        fresh.removeIf(older -> key(older).equals(key(rumor)));
        if (urgent) {
            fresh.add(rumor);
        }
    }

    /**
     * Takes the news that was not yet pushed to others at once.
     *
     * @return the news
     */
    List<Rumor> takeFresh() {
        List<Rumor> taken = List.copyOf(fresh);
        fresh.clear();
        return taken;
    }

    /**
     * Chooses news to pass on, the least sent first, and counts it as sent.
     *
     * @param bytes the room for it
     * @param members the number of members
     * @return the news
     */
    List<Rumor> choose(int bytes, int members) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(members + 1);
        int sends = SENDS_PER_DOUBLING * doublings;
        List<Entry> ordered = new ArrayList<>(entries.values());
        ordered.sort(Comparator.comparingInt(entry -> entry.sends));
        List<Rumor> chosen = new ArrayList<>();
        int left = bytes;
        for (Entry entry : ordered) {
            int size = entry.rumor.id().length() + RUMOR_BYTES;
            if (size > left) {
                break;
            }
            left -= size;
            chosen.add(entry.rumor);
            entry.sends++;
        }
        entries.values().removeIf(entry -> entry.sends >= sends);
        return chosen;
    }

    /**
     * Tells whether all news has been passed on.
     *
     * @return whether nothing is left
     */
    boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Names the subject of news.
     *
     * @param rumor the news
     * @return the key
     */
    private static String key(Rumor rumor) {
        return rumor.subject() + " " + rumor.id();
    }

    /** Holds news with the number of times it was sent. */
    private static final class Entry {

        /** The news. */
        private final Rumor rumor;

        /** How often it was sent. */
        private int sends;

        /**
         * Creates an entry that was not sent yet.
         *
         * @param rumor the news
         */
        private Entry(Rumor rumor) {
            this.rumor = rumor;
        }
    }
}

package org.damasktiller.scheduler.cell;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.damasktiller.scheduler.model.ActiveRun;
import org.damasktiller.scheduler.model.EndedRun;
import org.damasktiller.scheduler.model.Inventory;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * The stored submissions of a cell for which its owner has had no memory yet. Nothing of them may
 * be decided: an end or a run of one of their tasks is not handled before the submission is loaded.
 */
final class UnloadedSubmissions {

    /** The large submissions by identifier, in the order in which they were found. */
    private final Map<String, UnloadedSubmission> large = new LinkedHashMap<>();

    /** The other submissions by identifier, in the order in which they were found. */
    private final Map<String, UnloadedSubmission> ordinary = new LinkedHashMap<>();

    /** The identifiers of those that a previous owner had loaded. */
    private final Set<String> requested = new LinkedHashSet<>();

    /** What the large submissions will take, in bytes. */
    private long largeBytes;

    /** What the other submissions will take, in bytes. */
    private long ordinaryBytes;

    /** Creates an empty list. */
    UnloadedSubmissions() {}

    /**
     * Adds a submission, or replaces it.
     *
     * @param submission the submission
     * @param isLarge whether it is large
     */
    void add(UnloadedSubmission submission, boolean isLarge) {
        remove(submission.id());
        (isLarge ? large : ordinary).put(submission.id(), submission);
        if (isLarge) {
            largeBytes += submission.bytes();
        } else {
            ordinaryBytes += submission.bytes();
        }
    }

    /**
     * Removes a submission that is loaded or gone.
     *
     * @param id the identifier of the submission
     */
    void remove(String id) {
        requested.remove(id);
        UnloadedSubmission removed = large.remove(id);
        largeBytes -= removed == null ? 0 : removed.bytes();
        removed = ordinary.remove(id);
        ordinaryBytes -= removed == null ? 0 : removed.bytes();
    }

    /**
     * Finds a submission.
     *
     * @param id the identifier of the submission
     * @return the submission, or null if it is loaded or not open
     */
    @Nullable UnloadedSubmission find(String id) {
        UnloadedSubmission found = ordinary.get(id);
        return found == null ? large.get(id) : found;
    }

    /**
     * Returns whether a submission is open and not loaded.
     *
     * @param id the identifier of the submission
     * @return whether it is
     */
    boolean contains(String id) {
        return ordinary.containsKey(id) || large.containsKey(id);
    }

    /**
     * Requests that a submission be loaded before all others, since a previous owner had loaded it.
     *
     * @param id the identifier of the submission
     */
    void request(String id) {
        if (contains(id)) {
            requested.add(id);
        }
    }

    /**
     * Requests the submissions of which a worker lists tasks. What it lists can't be judged before
     * they are loaded.
     *
     * @param inventory the active and ended runs of the worker
     * @return whether there are any
     */
    boolean requestListed(Inventory inventory) {
        if (count() == 0) {
            return false;
        }
        List<String> ids =
                Stream.concat(
                                inventory.running().stream().map(ActiveRun::task),
                                inventory.ended().stream().map(EndedRun::task))
                        .map(TaskId::submission)
                        .filter(this::contains)
                        .toList();
        requested.addAll(ids);
        return !ids.isEmpty();
    }

    /**
     * Chooses the submission to load next: one that was requested, otherwise the first of the
     * ordinary or of the large ones.
     *
     * @param mayLoad decides on one that was not requested
     * @return the submission, or null if none may be loaded now
     */
    @Nullable UnloadedSubmission next(Predicate<UnloadedSubmission> mayLoad) {
        if (!requested.isEmpty()) {
            return find(requested.iterator().next());
        }
        return Stream.of(ordinary, large)
                .flatMap(group -> group.values().stream().limit(1))
                .filter(mayLoad)
                .findFirst()
                .orElse(null);
    }

    /**
     * Returns the submissions.
     *
     * @return a copy
     */
    List<UnloadedSubmission> all() {
        return Stream.of(ordinary, large).map(Map::values).flatMap(Collection::stream).toList();
    }

    /**
     * Returns the number of submissions.
     *
     * @return the number
     */
    int count() {
        return ordinary.size() + large.size();
    }

    /**
     * Returns what the submissions will take.
     *
     * @return the memory, in bytes
     */
    long bytes() {
        return ordinaryBytes + largeBytes;
    }

    /**
     * Returns what the submissions that are not large will take.
     *
     * @return the memory, in bytes
     */
    long ordinaryBytes() {
        return ordinaryBytes;
    }
}

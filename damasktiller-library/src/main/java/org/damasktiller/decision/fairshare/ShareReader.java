package org.damasktiller.decision.fairshare;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.decision.DominantShare;
import org.damasktiller.resource.Resources;

/** Reads back what each kind has received. */
final class ShareReader {

    /** The capacity of the fleet. */
    private final Resources capacity;

    /** The time, in milliseconds. */
    private final long nowMillis;

    /**
     * Creates a reader.
     *
     * @param capacity the capacity of the fleet
     * @param nowMillis the time, in milliseconds
     */
    ShareReader(Resources capacity, long nowMillis) {
        this.capacity = capacity;
        this.nowMillis = nowMillis;
    }

    /**
     * Reads all kinds.
     *
     * @param kinds the kinds
     * @param running the running jobs
     * @return the readings in order of the names
     */
    List<ShareReading> read(Collection<KindQueue> kinds, Collection<RunningJob> running) {
        Map<KindQueue, Double> unsettled = new HashMap<>();
        for (RunningJob job : running) {
            double share = DominantShare.of(job.reserved(), capacity);
            unsettled.merge(job.kind(), share * (nowMillis - job.sinceMillis()), Double::sum);
        }
        return kinds.stream()
                .sorted(Comparator.comparing(kind -> kind.row.name()))
                .map(kind -> reading(kind, unsettled.getOrDefault(kind, 0.0)))
                .toList();
    }

    /**
     * Reads one kind.
     *
     * @param kind the kind
     * @param unsettled the share of its running jobs not yet added, in whole-fleet milliseconds
     * @return the reading
     */
    private ShareReading reading(KindQueue kind, double unsettled) {
        return new ShareReading(
                kind.row.name(),
                kind.row.weight(),
                kind.consumedMillis + unsettled,
                DominantShare.of(kind.used, capacity),
                kind.running,
                kind.pending,
                nowMillis - kind.oldestMillis(nowMillis));
    }
}

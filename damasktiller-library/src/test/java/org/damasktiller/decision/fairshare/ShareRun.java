package org.damasktiller.decision.fairshare;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;

/** Runs kinds that always have jobs waiting on one pool of resources. */
final class ShareRun {

    private final FairShareQueue queue;
    private final Map<KindName, long[]> columns = new HashMap<>();
    private final PriorityQueue<End> ends =
            new PriorityQueue<>(Comparator.comparingLong(End::millis));
    private Resources free;
    private long nowMillis;
    private int jobs;

    ShareRun(Resources fleet, String resource) {
        queue = new FairShareQueue(fleet, new AgingRule(60_000, 1000));
        free = fleet;
        for (String line : lines(resource).subList(1, lines(resource).size())) {
            String[] words = line.split(",", -1);
            KindName kind = new KindName(words[0]);
            int weight = Integer.parseInt(words[1]);
            TenantName tenant = new TenantName("t");
            queue.putKind(KindOfWork.builder(kind, tenant).weight(weight).build(), 0);
            long[] numbers = new long[3];
            for (int at = 0; at < numbers.length; at++) {
                numbers[at] = Long.parseLong(words[at + 2]);
            }
            columns.put(kind, numbers);
            for (int each = 0; each < 100; each++) {
                submit(kind);
            }
        }
    }

    void advance(long untilMillis) {
        startAll();
        while (nowMillis < untilMillis) {
            End end = ends.remove();
            nowMillis = end.millis();
            queue.ended(end.job().id(), nowMillis);
            free = free.plus(end.job().size());
            startAll();
        }
    }

    List<ShareReading> consumed() {
        return queue.shares(nowMillis);
    }

    private void startAll() {
        queue.beginRound();
        Optional<PendingJob> next = queue.next(nowMillis);
        while (next.isPresent()) {
            PendingJob job = next.get();
            long[] numbers = Objects.requireNonNull(columns.get(job.kind()));
            if (job.size().fitsWithin(free)) {
                free = free.minus(job.size());
                queue.started(job.id(), job.size(), numbers[2], nowMillis);
                ends.add(new End(nowMillis + numbers[1], job));
                submit(job.kind());
            } else if (queue.refusedForRoom(job, true, nowMillis) > 0) {
                return;
            }
            next = queue.next(nowMillis);
        }
    }

    private void submit(KindName kind) {
        long[] numbers = Objects.requireNonNull(columns.get(kind));
        Resources size = new Resources(numbers[0], 100, 0);
        queue.submit(new PendingJob(new JobId("j" + ++jobs), kind, size, nowMillis));
    }

    private static List<String> lines(String resource) {
        try (InputStream stream = ShareRun.class.getResourceAsStream(resource)) {
            byte[] bytes = Objects.requireNonNull(stream).readAllBytes();
            return new String(bytes, StandardCharsets.UTF_8).lines().toList();
        } catch (IOException error) {
            throw new UncheckedIOException(error);
        }
    }

    private record End(long millis, PendingJob job) {}
}

package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.decision.fairshare.ShareReading;
import org.damasktiller.identity.KindName;

/** Compares what the kinds that always have jobs waiting received with their weights. */
final class ShareWatch {

    /** The first reading of each kind that had jobs waiting at every reading. */
    private final Map<KindName, ShareReading> first = new TreeMap<>();

    /** The last reading of each of these kinds. */
    private final Map<KindName, ShareReading> last = new TreeMap<>();

    /** Whether there was a reading. */
    private boolean begun;

    /** Creates a watch without readings. */
    ShareWatch() {}

    /**
     * Takes readings.
     *
     * @param readings the readings of all kinds
     */
    void read(List<ShareReading> readings) {
        for (ShareReading reading : readings) {
            if (reading.pending() == 0) {
                first.remove(reading.kind());
                last.remove(reading.kind());
            } else if (!begun) {
                first.put(reading.kind(), reading);
            }
            if (first.containsKey(reading.kind())) {
                last.put(reading.kind(), reading);
            }
        }
        begun = true;
    }

    /**
     * Returns the largest relative difference between a share received and the one by weight.
     *
     * @return the difference, zero if fewer than two kinds always had jobs waiting
     */
    double largestError() {
        double total = 0;
        double weights = 0;
        List<double[]> received = new ArrayList<>();
        for (Map.Entry<KindName, ShareReading> entry : last.entrySet()) {
            ShareReading begin = first.getOrDefault(entry.getKey(), entry.getValue());
            double share = entry.getValue().consumedMillis() - begin.consumedMillis();
            received.add(new double[] {share, begin.weight()});
            total += share;
            weights += begin.weight();
        }
        double largest = 0;
        for (double[] each : received) {
            double wanted = each[1] / weights;
            largest = Math.max(largest, Math.abs(each[0] / total - wanted) / wanted);
        }
        return largest;
    }
}

package org.damasktiller.benchmark.authority;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.benchmark.Bound;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.benchmark.Measurement;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.claim.ClaimScenario;

/**
 * Measures claims: writes to the store, the time until a grant at several rates in virtual time,
 * the processor time of the owner, and the violations under random faults.
 */
public final class ClaimsMeasurement implements Measurement {

    /** The rates, in claims a second. */
    private static final int[] RATES = {1, 100, 1_000};

    /** How long a quick load lasts, in seconds. */
    private static final int QUICK_SECONDS = 10;

    /** How long a load lasts, in seconds. */
    private static final int FULL_SECONDS = 60;

    /** The fault sequences of a quick run. */
    private static final int QUICK_CASES = 5_000;

    /** The fault sequences of a full run. */
    private static final int FULL_CASES = 50_000;

    /** The faults of a sequence at most. */
    private static final int MAXIMUM_FAULTS = 6;

    /** The highest number of the call at which a fault begins. */
    private static final int MAXIMUM_CALL = 200;

    /** The seed of the sequences. */
    private static final long SEED = 4;

    /** The share of a high quantile, in percent. */
    private static final double HIGH_PERCENT = 99;

    /** The share of the median, in percent. */
    private static final double MEDIAN_PERCENT = 50;

    /** Nanoseconds in a microsecond. */
    private static final double MICROSECOND_NANOS = 1_000;

    /** The claims to which writes are related. */
    private static final double CLAIMS = 1_000;

    /** Creates the measurement. */
    public ClaimsMeasurement() {}

    @Override
    public void run(boolean quick, FigureReport report) {
        int seconds = quick ? QUICK_SECONDS : FULL_SECONDS;
        for (int rate : RATES) {
            measureLoad(rate, seconds, report);
        }
        measureFaults(quick ? QUICK_CASES : FULL_CASES, report);
    }

    /**
     * Measures one rate.
     *
     * @param rate the claims a second
     * @param seconds how long the load lasts, in seconds
     * @param report where the figures go
     */
    private static void measureLoad(int rate, int seconds, FigureReport report) {
        ClaimLoad load = new ClaimLoad(ClaimSettings.DEFAULT);
        load.run(rate, seconds);
        String suffix = "_at_" + rate + "_per_second";
        double claims = load.questions();
        report.add("claim_writes_per_1000" + suffix, CLAIMS * load.swaps() / claims, "writes");
        report.add(
                "claim_latency_p50" + suffix,
                (double) load.latency().getValueAtPercentile(MEDIAN_PERCENT),
                "virtual_ms");
        report.add(
                "claim_latency_p99" + suffix,
                (double) load.latency().getValueAtPercentile(HIGH_PERCENT),
                "virtual_ms");
        report.add("claims_not_granted" + suffix, (double) load.notGranted(), "claims");
        if (rate == RATES[RATES.length - 1]) {
            report.add("claim_owner_time", load.ownerNanos() / MICROSECOND_NANOS / claims, "us");
        }
    }

    /**
     * Counts the violations under random faults.
     *
     * @param cases the number of sequences
     * @param report where the figures go
     */
    private static void measureFaults(int cases, FigureReport report) {
        Random random = new Random(SEED);
        List<CallFault> faults =
                List.copyOf(EnumSet.range(CallFault.CRASH_BEFORE, CallFault.STORE_PARTITION));
        int violations = 0;
        for (int run = 0; run < cases; run++) {
            Map<Integer, CallFault> sequence = new TreeMap<>();
            int count = 1 + random.nextInt(MAXIMUM_FAULTS);
            for (int index = 0; index < count; index++) {
                sequence.put(
                        1 + random.nextInt(MAXIMUM_CALL),
                        faults.get(random.nextInt(faults.size())));
            }
            violations += new ClaimScenario(sequence).run().size();
        }
        report.add("claim_fault_cases", cases, "cases");
        report.add("claim_fault_violations", violations, "violations", 0, Bound.AT_MOST);
    }
}

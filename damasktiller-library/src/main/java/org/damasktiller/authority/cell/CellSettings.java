package org.damasktiller.authority.cell;

import org.damasktiller.authority.commit.CommitSettings;
import org.damasktiller.authority.ownership.OwnershipSettings;

/**
 * Sets the times and bounds of a cell's owner.
 *
 * @param ownership the times of the ownership
 * @param commit the pace and sizes of the log
 * @param renewMillis how often the leases of running tasks are renewed, in milliseconds
 * @param callTimeoutMillis how long to wait for the answer to any call, in milliseconds
 * @param silenceMillis how long a worker may be silent before it gets no more leases, in
 *     milliseconds
 * @param acceptTimeoutMillis how long a submission may wait for its commit, in milliseconds
 * @param retentionMillis how long an ended job is kept, in milliseconds
 * @param maximumJobs how many jobs are kept at most, the ended ones included
 * @param maximumFailures how many attempts of a repeatable job may fail by themselves
 */
public record CellSettings(
        OwnershipSettings ownership,
        CommitSettings commit,
        long renewMillis,
        long callTimeoutMillis,
        long silenceMillis,
        long acceptTimeoutMillis,
        long retentionMillis,
        int maximumJobs,
        int maximumFailures) {

    /** Settings for a cell of about 100 workers. */
    public static final CellSettings DEFAULT =
            new CellSettings(
                    OwnershipSettings.DEFAULT,
                    CommitSettings.DEFAULT,
                    5_000,
                    2_000,
                    10_000,
                    5_000,
                    24 * 3_600_000L,
                    150_000,
                    3);

    /** Checks that running tasks are renewed in time. */
    public CellSettings {
        if (renewMillis + 2 * callTimeoutMillis > ownership.leaseOfTasksMillis()) {
            throw new IllegalArgumentException("leases of tasks must outlast a lost renewal");
        }
    }

    /**
     * Returns these settings with other times of the ownership.
     *
     * @param other the times of the ownership
     * @return the settings
     */
    public CellSettings withOwnership(OwnershipSettings other) {
        return new CellSettings(
                other,
                commit,
                renewMillis,
                callTimeoutMillis,
                silenceMillis,
                acceptTimeoutMillis,
                retentionMillis,
                maximumJobs,
                maximumFailures);
    }
}

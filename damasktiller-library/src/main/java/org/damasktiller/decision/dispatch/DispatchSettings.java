package org.damasktiller.decision.dispatch;

import org.damasktiller.decision.fairshare.AgingRule;
import org.damasktiller.decision.guard.GuardSettings;
import org.damasktiller.decision.health.HealthSettings;
import org.damasktiller.decision.interference.HarmSettings;

/**
 * Holds the settings of all decisions.
 *
 * @param protectServices whether placement and guard protect guarded services
 * @param harm the settings of the score by predicted harm
 * @param guard the settings of the guard
 * @param health the settings of probation
 * @param aging how long jobs may wait before they are preferred
 * @param guardedSlowdown the slowdown of a guarded service from which on the guard acts
 * @param samples how many workers are scored for a start
 * @param workersToPoison on how many good workers a job must fail to be given up
 */
public record DispatchSettings(
        boolean protectServices,
        HarmSettings harm,
        GuardSettings guard,
        HealthSettings health,
        AgingRule aging,
        double guardedSlowdown,
        int samples,
        int workersToPoison) {

    /** The settings for ordinary use. */
    public static final DispatchSettings ORDINARY =
            new DispatchSettings(
                    true,
                    HarmSettings.ORDINARY,
                    GuardSettings.ORDINARY,
                    HealthSettings.ORDINARY,
                    AgingRule.ORDINARY,
                    1.15,
                    24,
                    3);

    /**
     * Returns the same settings without the protection of services.
     *
     * @return the settings
     */
    public DispatchSettings withoutProtection() {
        return new DispatchSettings(
                false, harm, guard, health, aging, guardedSlowdown, samples, workersToPoison);
    }
}

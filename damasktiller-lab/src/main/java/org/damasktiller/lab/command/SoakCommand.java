package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.damasktiller.lab.settings.Settings;
import org.damasktiller.lab.soak.SoakRun;
import org.damasktiller.lab.soak.SoakSettings;

/** Runs the soak test, which injects overlapping faults, once for each selected seed. */
@Parameters(
        commandNames = "soak",
        commandDescription = "Run a deployment on this machine and inject overlapping faults")
public final class SoakCommand implements Command {

    /** The maximum time during which faults are injected, in seconds. */
    private static final long MAXIMUM_FAULT_SECONDS = 3_600;

    /** Matches a range of seeds; both ends are included. */
    private static final Pattern SEED_RANGE = Pattern.compile("(\\d{1,18})-(\\d{1,18})");

    /** The seed of a single run; ignored if a range of seeds is given. */
    @Parameter(names = "--seed", description = "Seed of the fault plan")
    private long seed = 1;

    /** The range of seeds to run one after the other, empty for a single seed. */
    @Parameter(names = "--seeds", description = "Range of seeds, A-B; takes precedence over --seed")
    private String seedRange = "";

    /** How long each run injects faults, in seconds. */
    @Parameter(names = "--for", description = "How long faults are injected, in seconds")
    private long faultSeconds = 30;

    /** Whether the only faults are planned work. */
    @Parameter(
            names = "--planned",
            description =
                    "Only restart owners in series and replace workers, and check how long"
                            + " long-running tasks are interrupted")
    private boolean planned;

    /** The directory under which the settings and logs of each seed are written. */
    @Parameter(
            names = "--directory",
            description = "Directory for the settings and logs of each seed")
    private String directory = "target/soak";

    /** Creates the command; JCommander sets its fields. */
    public SoakCommand() {}

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public ExitCode run(PrintStream output) {
        Settings.requireInRange("--for", faultSeconds, 1, MAXIMUM_FAULT_SECONDS);
        List<Long> failedSeeds = new ArrayList<>();
        for (long nextSeed : selectedSeeds()) {
            SoakSettings settings = new SoakSettings(nextSeed, faultSeconds, planned, directory);
            if (!new SoakRun(settings, output).run()) {
                failedSeeds.add(nextSeed);
            }
        }
        output.println("failed seeds: " + failedSeeds);
        return failedSeeds.isEmpty() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }

    /**
     * Returns the seeds to run.
     *
     * @return the seeds of the range, or the single seed if no range is given
     * @throws org.damasktiller.error.DamasktillerException with code BAD_SETTING if the range is
     *     malformed or ends before it begins
     */
    private List<Long> selectedSeeds() {
        if (seedRange.isEmpty()) {
            return List.of(seed);
        }
        Matcher matcher = SEED_RANGE.matcher(seedRange);
        if (!matcher.matches()
                || Long.parseLong(matcher.group(1)) > Long.parseLong(matcher.group(2))) {
            throw Settings.invalidValue(
                    "--seeds", seedRange, "a range A-B of whole numbers with A up to B", null);
        }
        List<Long> selected = new ArrayList<>();
        for (long nextSeed = Long.parseLong(matcher.group(1));
                nextSeed <= Long.parseLong(matcher.group(2));
                nextSeed++) {
            selected.add(nextSeed);
        }
        return selected;
    }
}

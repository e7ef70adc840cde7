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

/** Runs the fault soak with one seed or several. */
@Parameters(
        commandNames = "soak",
        commandDescription = "Run the programs as processes under overlapping faults")
public final class SoakCommand implements Command {

    /** The longest series of faults, in seconds. */
    private static final long MAXIMUM_SECONDS = 3_600;

    /** The form of a range of seeds. */
    private static final Pattern RANGE = Pattern.compile("(\\d{1,18})-(\\d{1,18})");

    /** The seed. */
    @Parameter(names = "--seed", description = "Seed of the plan of faults")
    private long seed = 1;

    /** The seeds. */
    @Parameter(names = "--seeds", description = "Range of seeds, A-B; goes before --seed")
    private String seeds = "";

    /** How long faults come. */
    @Parameter(names = "--for", description = "How long faults come, in seconds")
    private long seconds = 30;

    /** Where the settings and logs of each seed go. */
    @Parameter(names = "--directory", description = "Where settings and logs of each seed go")
    private String directory = "target/soak";

    /** Creates the command. */
    public SoakCommand() {}

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public ExitCode run(PrintStream output) {
        Settings.inRange("--for", seconds, 1, MAXIMUM_SECONDS);
        List<Long> failed = new ArrayList<>();
        for (long next : chosen()) {
            if (!new SoakRun(new SoakSettings(next, seconds, directory), output).run()) {
                failed.add(next);
            }
        }
        output.println("failed seeds: " + failed);
        return failed.isEmpty() ? ExitCode.SUCCESS : ExitCode.UNACCOUNTED;
    }

    /**
     * Returns the seeds to run.
     *
     * @return the seeds
     */
    private List<Long> chosen() {
        if (seeds.isEmpty()) {
            return List.of(seed);
        }
        Matcher matcher = RANGE.matcher(seeds);
        if (!matcher.matches()) {
            throw Settings.refused("--seeds", seeds, "A-B with whole numbers", null);
        }
        List<Long> chosen = new ArrayList<>();
        for (long next = Long.parseLong(matcher.group(1));
                next <= Long.parseLong(matcher.group(2));
                next++) {
            chosen.add(next);
        }
        return chosen;
    }
}

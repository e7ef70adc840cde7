package org.damasktiller.node.process;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.damasktiller.node.cluster.LayoutPolicy;
import org.damasktiller.platform.settings.SettingsReader;
import org.damasktiller.scheduler.policy.Policy;

/** The command-line options of an entry VM. */
public final class Options {

    /** The path of the platform's settings file. */
    @Parameter(
            names = "--settings",
            description =
                    "path of the platform's settings file; default: the value of DAMASKTILLER_BOOT,"
                            + " or /etc/damasktiller/local.conf if that is not set")
    String settings = defaultSettings();

    /** The most availability zones whose workers form one cell. */
    @Parameter(
            names = "--max-zones-per-cell",
            description =
                    "the most availability zones whose workers have a single owner; 0 decides by"
                        + " the processor time of the entry VMs. The first process stores it; later"
                        + " values have no effect")
    int maxZonesPerCell = LayoutPolicy.AUTOMATIC;

    /** The policies that are switched off. */
    @Parameter(
            names = "--without",
            converter = PolicyConverter.class,
            description =
                    "policies to switch off, separated by commas, for diagnosis; \"damasktiller"
                            + " policies\" lists them")
    List<Policy> disabledPolicies = new ArrayList<>();

    /** Whether to print the options and exit. */
    @Parameter(names = "--help", help = true, description = "print the options and exit")
    boolean help;

    /** Creates options with their default values. */
    public Options() {}

    /**
     * Switches policies off.
     *
     * @param policies the policies
     * @return these options
     */
    public Options without(Collection<Policy> policies) {
        disabledPolicies.addAll(policies);
        return this;
    }

    /**
     * Checks the values that the parser does not check.
     *
     * @throws ParameterException if a value is out of range
     */
    void validate() {
        if (maxZonesPerCell < 0) {
            throw new ParameterException(
                    "--max-zones-per-cell must be at least 0, but is " + maxZonesPerCell);
        }
    }

    /**
     * Returns the default path of the settings file.
     *
     * @return the value of the environment variable, or a fixed path if it is unset or empty
     */
    private static String defaultSettings() {
        String path = System.getenv(SettingsReader.PATH_VARIABLE);
        return path == null || path.isEmpty() ? SettingsReader.DEFAULT_PATH : path;
    }
}

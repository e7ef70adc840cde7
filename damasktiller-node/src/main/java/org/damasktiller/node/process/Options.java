package org.damasktiller.node.process;

import com.beust.jcommander.Parameter;
import org.damasktiller.platform.settings.SettingsReader;

/** The command-line options of an entry VM. */
final class Options {

    /** The path of the platform's settings file. */
    @Parameter(
            names = "--settings",
            description =
                    "path of the platform's settings file; default: the value of DAMASKTILLER_BOOT,"
                            + " or /etc/damasktiller/local.conf if that is not set")
    String settings = defaultSettings();

    /** Whether to print the options and exit. */
    @Parameter(names = "--help", help = true, description = "print the options and exit")
    boolean help;

    /** Creates options with their default values. */
    Options() {}

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

package org.damasktiller.node.process;

import com.beust.jcommander.Parameter;
import org.damasktiller.platform.settings.SettingsReader;

/** The command line of an entry VM. */
final class Options {

    /** The path of the settings file. */
    @Parameter(
            names = "--settings",
            description =
                    "path of the platform's settings file; default: the path that the platform"
                            + " gives")
    String settings = defaultSettings();

    /** Whether to print the options and end. */
    @Parameter(names = "--help", help = true, description = "print the options and end")
    boolean help;

    /** Creates options with their defaults. */
    Options() {}

    /**
     * Returns the path that the environment names.
     *
     * @return the path
     */
    private static String defaultSettings() {
        String path = System.getenv(SettingsReader.PATH_VARIABLE);
        return path == null || path.isEmpty() ? SettingsReader.DEFAULT_PATH : path;
    }
}

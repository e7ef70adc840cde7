package org.damasktiller.lab.settings;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Locale;
import java.util.Map;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * Reads settings from flags and environment variables, and checks their values. A flag takes
 * precedence over the environment variable of the same setting.
 */
public final class Settings {

    /** The prefix of the names of all environment variables of settings. */
    public static final String VARIABLE_PREFIX = "DAMASKTILLER_";

    /** Prevents instantiation. */
    private Settings() {}

    /**
     * Returns the name of the environment variable that corresponds to a flag.
     *
     * @param flag the flag, such as {@code --store-timeout-millis}
     * @return the name, such as {@code DAMASKTILLER_STORE_TIMEOUT_MILLIS}
     */
    public static String environmentVariableOf(String flag) {
        return VARIABLE_PREFIX
                + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /**
     * Reads settings into the annotated fields of an object.
     *
     * @param settings the object, whose fields have JCommander annotations
     * @param arguments the flags and their values
     * @param environment the environment variables, by name
     * @throws DamasktillerException with code BAD_SETTING and the message of the parser if a flag
     *     is unknown, missing or malformed
     */
    public static void read(Object settings, String[] arguments, Map<String, String> environment) {
        JCommander parser =
                JCommander.newBuilder()
                        .addObject(settings)
                        .defaultProvider(flag -> environment.get(environmentVariableOf(flag)))
                        .build();
        try {
            parser.parse(arguments);
        } catch (ParameterException exception) {
            throw new DamasktillerException(
                    ErrorCode.BAD_SETTING,
                    Operation.SETTINGS,
                    "",
                    Outcome.NOT_RUN,
                    String.valueOf(exception.getMessage()),
                    exception);
        }
    }

    /**
     * Creates the error for a value that is not allowed.
     *
     * @param setting the name of the setting
     * @param value the value, empty if none was given
     * @param allowed a description of the allowed values
     * @param cause the underlying error, or null if there is none
     * @return the error, with code BAD_SETTING
     */
    public static DamasktillerException invalidValue(
            String setting, String value, String allowed, @Nullable Throwable cause) {
        return new DamasktillerException(
                ErrorCode.BAD_SETTING,
                Operation.SETTINGS,
                "",
                Outcome.NOT_RUN,
                "setting " + setting + ": value '" + value + "', allowed: " + allowed,
                cause);
    }

    /**
     * Checks that a required setting was given.
     *
     * @param setting the name of the setting
     * @param value the value, or null if the setting was not given
     * @param allowed a description of the allowed values
     * @param <T> the type of the value
     * @return the value
     * @throws DamasktillerException with code BAD_SETTING if the setting was not given
     */
    public static <T> T requirePresent(String setting, @Nullable T value, String allowed) {
        if (value == null) {
            throw invalidValue(setting, "", allowed, null);
        }
        return value;
    }

    /**
     * Checks that a number is within its range.
     *
     * @param setting the name of the setting
     * @param value the value
     * @param minimum the minimum, inclusive
     * @param maximum the maximum, inclusive
     * @throws DamasktillerException with code BAD_SETTING if the value is outside the range
     */
    public static void requireInRange(String setting, long value, long minimum, long maximum) {
        if (value < minimum || value > maximum) {
            throw invalidValue(setting, Long.toString(value), minimum + " to " + maximum, null);
        }
    }
}

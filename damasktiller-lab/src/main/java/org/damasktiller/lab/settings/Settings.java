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

/** Reads settings from flags and environment variables; a flag goes before a variable. */
public final class Settings {

    /** The start of the name of every environment variable. */
    public static final String VARIABLE_PREFIX = "DAMASKTILLER_";

    /** Prevents instantiation. */
    private Settings() {}

    /**
     * Returns the environment variable of a flag.
     *
     * @param flag the flag, such as {@code --store-timeout-millis}
     * @return the variable, such as {@code DAMASKTILLER_STORE_TIMEOUT_MILLIS}
     */
    public static String variableOf(String flag) {
        return VARIABLE_PREFIX
                + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /**
     * Fills an object with annotated fields.
     *
     * @param settings the object with JCommander's annotations
     * @param arguments the flags
     * @param environment the environment variables
     * @throws DamasktillerException with code BAD_SETTING, naming the setting, the value and what
     *     is allowed
     */
    public static void read(Object settings, String[] arguments, Map<String, String> environment) {
        JCommander parser =
                JCommander.newBuilder()
                        .addObject(settings)
                        .defaultProvider(flag -> environment.get(variableOf(flag)))
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
     * Makes the error of a value that is not allowed.
     *
     * @param setting the name of the setting
     * @param value the value
     * @param allowed what is allowed
     * @param cause the error beneath, or null
     * @return the error
     */
    public static DamasktillerException refused(
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
     * Checks that a setting was given.
     *
     * @param setting the name of the setting
     * @param value the value, or null
     * @param allowed what is allowed
     * @param <T> the type of the value
     * @return the value
     */
    public static <T> T required(String setting, @Nullable T value, String allowed) {
        if (value == null) {
            throw refused(setting, "", allowed, null);
        }
        return value;
    }

    /**
     * Checks that a number lies in its range.
     *
     * @param setting the name of the setting
     * @param value the value
     * @param least the least value allowed
     * @param most the greatest value allowed
     */
    public static void inRange(String setting, long value, long least, long most) {
        if (value < least || value > most) {
            throw refused(setting, Long.toString(value), least + " to " + most, null);
        }
    }
}

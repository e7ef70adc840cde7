package org.damasktiller.node.placement;

import java.util.function.Function;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.jspecify.annotations.Nullable;

/**
 * A question where a task would start now.
 *
 * @param route the name of the route
 * @param spec the step of the task
 */
public record PlacementQuestion(String route, StepSpec spec) {

    /** The parameter with the name of the route. */
    public static final String ROUTE = "route";

    /** The parameter with the CPU of the task, in millicores. */
    public static final String CPU = "cpu";

    /** The parameter with the memory of the task, in megabytes. */
    public static final String MEMORY = "memory";

    /** The parameter with the number of accelerators of the task. */
    public static final String ACCELERATORS = "accelerators";

    /** The parameter with the declared duration of the task, in milliseconds. */
    public static final String ESTIMATE = "estimate";

    /** The parameter with the target response time of a serving task, in milliseconds. */
    public static final String TARGET = "target";

    /** The parameter with the image of the task. */
    public static final String IMAGE = "image";

    /** The parameter with the label that the worker must have. */
    public static final String LABEL = "label";

    /** The parameter with the rack that holds the data of the task. */
    public static final String RACK = "rack";

    /** The parameter that says whether the task is long-running: true or false. */
    public static final String LONG_RUNNING = "long-running";

    /** The parameter that says whether the task is a filler: true or false. */
    public static final String FILLER = "filler";

    /**
     * Reads a question from the parameters of a request. The route and the CPU are required.
     *
     * @param parameters returns the value of a parameter, or null if it is missing
     * @return the question
     * @throws DamasktillerException with code BAD_REQUEST if a parameter is missing or malformed
     */
    public static PlacementQuestion parse(Function<String, @Nullable String> parameters) {
        Resources need =
                new Resources(
                        number(parameters, CPU, true),
                        number(parameters, MEMORY, false),
                        number(parameters, ACCELERATORS, false));
        StepSpec spec =
                StepSpec.builder(1, need)
                        .estimateMillis(number(parameters, ESTIMATE, false))
                        .targetMillis(number(parameters, TARGET, false))
                        .image(text(parameters, IMAGE))
                        .requiredLabel(text(parameters, LABEL))
                        .dataRack(text(parameters, RACK))
                        .lasting(Boolean.parseBoolean(text(parameters, LONG_RUNNING)))
                        .filling(Boolean.parseBoolean(text(parameters, FILLER)))
                        .build();
        String route = text(parameters, ROUTE);
        if (route.isEmpty()) {
            throw badRequest(ROUTE + " is missing");
        }
        return new PlacementQuestion(route, spec);
    }

    /**
     * Returns the value of a text parameter.
     *
     * @param parameters returns the value of a parameter, or null if it is missing
     * @param name the name of the parameter
     * @return the value, empty if it is missing
     */
    private static String text(Function<String, @Nullable String> parameters, String name) {
        String value = parameters.apply(name);
        return value == null ? "" : value;
    }

    /**
     * Returns the value of a number parameter.
     *
     * @param parameters returns the value of a parameter, or null if it is missing
     * @param name the name of the parameter
     * @param required whether it must be there
     * @return the value, 0 if it is missing
     * @throws DamasktillerException with code BAD_REQUEST if it is malformed, or missing though
     *     required
     */
    private static long number(
            Function<String, @Nullable String> parameters, String name, boolean required) {
        String value = text(parameters, name);
        if (value.isEmpty() && !required) {
            return 0;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException exception) {
            throw badRequest(name + " must be a whole number, but is '" + value + "'");
        }
        throw badRequest(name + " must not be negative, but is " + value);
    }

    /**
     * Creates the error for an invalid question.
     *
     * @param message what is wrong
     * @return the error, to be thrown
     */
    private static DamasktillerException badRequest(String message) {
        return new DamasktillerException(
                ErrorCode.BAD_REQUEST, Operation.READ, "", Outcome.NOT_RUN, message);
    }
}

package org.damasktiller.node.process;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.damasktiller.scheduler.policy.Policy;

/** Converts the name of a policy on the command line. */
public final class PolicyConverter implements IStringConverter<Policy> {

    /** Creates a converter. */
    public PolicyConverter() {}

    /**
     * Converts a name.
     *
     * @param name the name
     * @return the policy
     * @throws ParameterException if there is no policy of that name; the message lists the names
     */
    @Override
    public Policy convert(String name) {
        try {
            return Policy.named(name);
        } catch (IllegalArgumentException exception) {
            throw new ParameterException(exception.getMessage(), exception);
        }
    }
}

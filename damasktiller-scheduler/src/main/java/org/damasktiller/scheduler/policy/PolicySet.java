package org.damasktiller.scheduler.policy;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;

/** The policies that are in force in a process. Immutable. */
public final class PolicySet {

    /** All policies. */
    public static final PolicySet ALL = new PolicySet(EnumSet.noneOf(Policy.class));

    /** No policy. */
    public static final PolicySet NONE = new PolicySet(EnumSet.allOf(Policy.class));

    /** The policies that are switched off. */
    private final Set<Policy> disabled;

    /**
     * Creates a set.
     *
     * @param disabled the policies that are switched off
     */
    private PolicySet(Set<Policy> disabled) {
        this.disabled = Collections.unmodifiableSet(disabled);
    }

    /**
     * Creates a set of all policies but some.
     *
     * @param policies the policies that are switched off
     * @return the set
     */
    public static PolicySet without(Collection<Policy> policies) {
        EnumSet<Policy> disabled = EnumSet.noneOf(Policy.class);
        disabled.addAll(policies);
        return new PolicySet(disabled);
    }

    /**
     * Returns whether a policy is in force.
     *
     * @param policy the policy
     * @return whether it is not switched off
     */
    public boolean isEnabled(Policy policy) {
        return !disabled.contains(policy);
    }

    /**
     * Returns the policies that are switched off.
     *
     * @return the policies, in the order of their declaration
     */
    public Set<Policy> disabled() {
        return disabled;
    }

    /**
     * Describes which policies are switched off.
     *
     * @return their names, separated by commas; empty if all are in force
     */
    @Override
    public String toString() {
        return disabled.stream().map(Policy::externalName).collect(Collectors.joining(","));
    }
}

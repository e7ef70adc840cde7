/**
 * Names the policies of the scheduler, and which of them are in force. A policy decides what starts
 * where and when, and can be switched off. What guards a promise (fencing, leases, capacity, limits
 * of attempts and of planned interruptions, evacuations, the pause of fillers at the bound) is not
 * a policy and has no switch.
 */
@NullMarked
package org.damasktiller.scheduler.policy;

import org.jspecify.annotations.NullMarked;

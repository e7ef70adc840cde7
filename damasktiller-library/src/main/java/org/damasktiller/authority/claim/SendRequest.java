package org.damasktiller.authority.claim;

/** Sends the request to an endpoint, in the same step in which this action is taken. */
public record SendRequest() implements ForwarderAction {}

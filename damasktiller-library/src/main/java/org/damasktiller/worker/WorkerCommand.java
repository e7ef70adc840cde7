package org.damasktiller.worker;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One command to a worker. Every command but a probe carries the generation of its sender. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ProbeCommand.class, name = "probe"),
    @JsonSubTypes.Type(value = FenceCommand.class, name = "fence"),
    @JsonSubTypes.Type(value = StartCommand.class, name = "start"),
    @JsonSubTypes.Type(value = RenewCommand.class, name = "renew"),
    @JsonSubTypes.Type(value = StopCommand.class, name = "stop"),
    @JsonSubTypes.Type(value = ThrottleCommand.class, name = "throttle"),
    @JsonSubTypes.Type(value = AcknowledgeCommand.class, name = "acknowledge")
})
public sealed interface WorkerCommand permits ProbeCommand, FencedCommand {}

package org.damasktiller.worker;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** The answer of a worker to one command. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ProbeAnswer.class, name = "probe"),
    @JsonSubTypes.Type(value = ReportAnswer.class, name = "report"),
    @JsonSubTypes.Type(value = RefusedAnswer.class, name = "refused")
})
public sealed interface WorkerAnswer permits ProbeAnswer, ReportAnswer, RefusedAnswer {

    /**
     * Returns the moment of the answer on the worker's clock.
     *
     * @return the stamp
     */
    WorkerStamp stamp();
}

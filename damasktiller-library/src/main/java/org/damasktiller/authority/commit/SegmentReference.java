package org.damasktiller.authority.commit;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Names one sealed segment. The generation keeps apart the segments that a superseded owner writes
 * late.
 *
 * @param generation the generation of the owner that wrote the segment
 * @param number the number of the segment, above zero
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"generation", "number"})
public record SegmentReference(long generation, long number) {}

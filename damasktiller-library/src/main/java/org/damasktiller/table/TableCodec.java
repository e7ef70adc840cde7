package org.damasktiller.table;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.KindName;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Converts heads, segments and deltas to MessagePack and back; rows travel as compact CSV, so that
 * a column at its default costs nothing. Safe for use by several threads.
 */
public final class TableCodec {

    /** Converts records to MessagePack arrays. */
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    /** Stands for no rows. */
    private static final byte[] NO_ROWS = {};

    /** Prevents instantiation. */
    private TableCodec() {}

    /**
     * Encodes deltas.
     *
     * @param deltas the deltas
     * @return the bytes
     */
    public static byte[] encodeDeltas(List<TableDelta> deltas) {
        return encode(deltas.stream().map(TableCodec::toRecord).toArray(DeltaRecord[]::new));
    }

    /**
     * Decodes deltas.
     *
     * @param bytes the bytes
     * @return the deltas
     * @throws DamasktillerException with code PROTOCOL_ERROR if the bytes are not deltas
     */
    public static List<TableDelta> decodeDeltas(byte[] bytes) {
        DeltaRecord[] records = decode(bytes, DeltaRecord[].class);
        List<TableDelta> deltas = new ArrayList<>();
        for (DeltaRecord each : records) {
            deltas.add(toDelta(each));
        }
        return deltas;
    }

    /**
     * Encodes a head.
     *
     * @param head the head
     * @return the bytes
     */
    static byte[] encodeHead(TableHead head) {
        return encode(
                new HeadRecord(
                        head.version(),
                        head.digest(),
                        head.snapshotKey(),
                        head.snapshotVersion(),
                        head.segments(),
                        encodeDeltas(head.tail())));
    }

    /**
     * Decodes a head.
     *
     * @param bytes the bytes
     * @return the head
     * @throws DamasktillerException with code PROTOCOL_ERROR if the bytes are not a head
     */
    static TableHead decodeHead(byte[] bytes) {
        HeadRecord decoded = decode(bytes, HeadRecord.class);
        return new TableHead(
                decoded.version(),
                decoded.digest(),
                decoded.snapshotKey(),
                decoded.snapshotVersion(),
                decoded.segments(),
                decodeDeltas(decoded.tail()));
    }

    /**
     * Converts a delta to what is written.
     *
     * @param delta the delta
     * @return the record
     */
    private static DeltaRecord toRecord(TableDelta delta) {
        List<KindOfWork> before = new ArrayList<>();
        List<KindOfWork> after = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        for (RowChange change : delta.changes()) {
            KindOfWork old = change.before();
            KindOfWork changed = change.after();
            if (old != null) {
                before.add(old);
            }
            if (changed == null) {
                removed.add(change.kind().value());
            } else {
                after.add(changed);
            }
        }
        return new DeltaRecord(
                delta.version(),
                delta.id().value(),
                delta.operator(),
                delta.acceptedAtMillis(),
                delta.complete(),
                removed,
                before.isEmpty() ? NO_ROWS : TableWriter.writeCompact(before),
                after.isEmpty() ? NO_ROWS : TableWriter.writeCompact(after));
    }

    /**
     * Converts what was written to a delta.
     *
     * @param decoded the record
     * @return the delta
     */
    private static TableDelta toDelta(DeltaRecord decoded) {
        Map<KindName, KindOfWork> before = new LinkedHashMap<>();
        readRows(decoded.before()).forEach(row -> before.put(row.name(), row));
        List<RowChange> changes = new ArrayList<>();
        for (KindOfWork row : readRows(decoded.after())) {
            changes.add(new RowChange(row.name(), before.get(row.name()), row));
        }
        for (String kind : decoded.removed()) {
            KindName name = new KindName(kind);
            changes.add(new RowChange(name, before.get(name), null));
        }
        return new TableDelta(
                decoded.version(),
                new EditId(decoded.id()),
                decoded.operator(),
                decoded.acceptedAtMillis(),
                decoded.complete(),
                changes);
    }

    /**
     * Reads compact rows.
     *
     * @param csv the rows, or no bytes
     * @return the rows
     */
    private static List<KindOfWork> readRows(byte[] csv) {
        return csv.length == 0 ? List.of() : TableReader.readRows(csv);
    }

    /**
     * Encodes a record.
     *
     * @param value the record
     * @return the bytes
     */
    private static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("records of the table can always be encoded", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @param bytes the bytes
     * @param type the type of the record
     * @param <T> the type of the record
     * @return the record
     */
    private static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException | RuntimeException e) {
            throw new DamasktillerException(
                    ErrorCode.PROTOCOL_ERROR,
                    Operation.TABLE,
                    "",
                    Outcome.NOT_RUN,
                    "a record of the table cannot be decoded",
                    e);
        }
    }

    /**
     * Holds a head as it is written.
     *
     * @param version the version in force
     * @param digest the digest
     * @param snapshotKey the key of the snapshot
     * @param snapshotVersion the version of the snapshot
     * @param segments the segments
     * @param tail the encoded deltas
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @SuppressWarnings("ArrayRecordComponent")
    private record HeadRecord(
            long version,
            long digest,
            String snapshotKey,
            long snapshotVersion,
            List<SegmentRange> segments,
            byte[] tail) {}

    /**
     * Holds a delta as it is written.
     *
     * @param version the version
     * @param id the identity of the edit
     * @param operator the operator
     * @param acceptedAtMillis when it was accepted
     * @param complete whether the changes are listed
     * @param removed the kinds removed
     * @param before the rows before, as compact CSV
     * @param after the rows after, as compact CSV
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @SuppressWarnings("ArrayRecordComponent")
    private record DeltaRecord(
            long version,
            String id,
            String operator,
            long acceptedAtMillis,
            boolean complete,
            List<String> removed,
            byte[] before,
            byte[] after) {}
}

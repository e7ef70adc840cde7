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
 * Encodes heads and deltas as MessagePack and decodes them. Rows are encoded as compact CSV, which
 * leaves out the columns that hold their default in every row. Thread-safe.
 */
public final class TableCodec {

    /** Converts between records and MessagePack. */
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    /** The encoding of an empty list of rows. */
    private static final byte[] NO_ROWS = {};

    /** Prevents instantiation. */
    private TableCodec() {}

    /**
     * Encodes deltas.
     *
     * @param deltas the deltas
     * @return the bytes, as stored in a segment
     */
    public static byte[] encodeDeltas(List<TableDelta> deltas) {
        return encode(deltas.stream().map(TableCodec::toRecord).toArray(DeltaRecord[]::new));
    }

    /**
     * Decodes deltas.
     *
     * @param bytes the bytes, as written by {@link #encodeDeltas}
     * @return the deltas in the order in which they were encoded
     * @throws DamasktillerException with code PROTOCOL_ERROR if the bytes do not encode deltas
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
     * @return the bytes, as stored under {@link TableKeys#HEAD}
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
     * @param bytes the bytes, as written by {@link #encodeHead}
     * @return the head
     * @throws DamasktillerException with code PROTOCOL_ERROR if the bytes do not encode a head
     */
    static TableHead decodeHead(byte[] bytes) {
        HeadRecord stored = decode(bytes, HeadRecord.class);
        return new TableHead(
                stored.version(),
                stored.digest(),
                stored.snapshotKey(),
                stored.snapshotVersion(),
                stored.segments(),
                decodeDeltas(stored.tail()));
    }

    /**
     * Converts a delta to its stored form.
     *
     * @param delta the delta
     * @return the stored form
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
     * Converts the stored form of a delta back to the delta.
     *
     * @param stored the stored form
     * @return the delta
     */
    private static TableDelta toDelta(DeltaRecord stored) {
        Map<KindName, KindOfWork> before = new LinkedHashMap<>();
        readRows(stored.before()).forEach(row -> before.put(row.name(), row));
        List<RowChange> changes = new ArrayList<>();
        for (KindOfWork row : readRows(stored.after())) {
            changes.add(new RowChange(row.name(), before.get(row.name()), row));
        }
        for (String kind : stored.removed()) {
            KindName name = new KindName(kind);
            changes.add(new RowChange(name, before.get(name), null));
        }
        return new TableDelta(
                stored.version(),
                new EditId(stored.id()),
                stored.operator(),
                stored.acceptedAtMillis(),
                stored.complete(),
                changes);
    }

    /**
     * Decodes rows.
     *
     * @param csv the rows as compact CSV, or an empty array for no rows
     * @return the rows
     */
    private static List<KindOfWork> readRows(byte[] csv) {
        return csv.length == 0 ? List.of() : TableReader.readRows(csv);
    }

    /**
     * Encodes a record as MessagePack.
     *
     * @param value the record or an array of records
     * @return the bytes
     */
    private static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of the table cannot be encoded", e);
        }
    }

    /**
     * Decodes a record from MessagePack.
     *
     * @param bytes the bytes
     * @param type the class of the record, or of an array of records
     * @param <T> the type to which the bytes are decoded
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
     * The stored form of a {@link TableHead}. The components are stored by position.
     *
     * @param version the current version
     * @param digest the digest of the current table
     * @param snapshotKey the key of the snapshot, or an empty string if there is none
     * @param snapshotVersion the version of the snapshot, or zero if there is none
     * @param segments the segments after the snapshot, in order of version
     * @param tail the latest deltas, encoded by {@link #encodeDeltas}
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
     * The stored form of a {@link TableDelta}. The components are stored by position.
     *
     * @param version the version to which the delta leads
     * @param id the ID of the edit
     * @param operator the name of the operator
     * @param acceptedAtMillis when the edit was accepted, in milliseconds since 1970
     * @param complete whether the changes are included
     * @param removed the kinds of the removed rows
     * @param before the changed and removed rows before the edit, as compact CSV; empty if left out
     * @param after the changed and added rows after the edit, as compact CSV
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

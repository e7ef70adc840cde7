package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StorePage;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/** Reads the room that the present owners of the other cells have published. */
final class RoomReader {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates a reader.
     *
     * @param context the shared state of the cell's owner
     */
    RoomReader(CellContext context) {
        this.context = context;
    }

    /**
     * Reads the rooms. Nothing is called once the term has ended.
     *
     * @param onRooms receives the rooms by the name of the cell, without cells of which no present
     *     owner has published any
     * @param onFailure called instead if the store does not answer
     */
    void read(Consumer<Map<String, PublishedRoom>> onRooms, Runnable onFailure) {
        list(
                CellKeys.PENDING_PREFIX,
                onFailure,
                pending ->
                        list(
                                CellKeys.OWNER_PREFIX,
                                onFailure,
                                owners -> onRooms.accept(roomsOf(pending, owners))));
    }

    /**
     * Reads the items of a prefix.
     *
     * @param prefix the prefix
     * @param onFailure called if the store does not answer
     * @param next receives the first page of items otherwise
     */
    private void list(String prefix, Runnable onFailure, Consumer<StorePage> next) {
        context.store.list(prefix, "", result -> passOn(result, onFailure, next));
    }

    /**
     * Passes the value of a call on unless the term has ended.
     *
     * @param result the result of the call
     * @param onFailure called if there is no value
     * @param next receives the value
     */
    private void passOn(
            StoreResult<StorePage> result, Runnable onFailure, Consumer<StorePage> next) {
        if (context.ended) {
            return;
        }
        if (result.status() == StoreStatus.OK) {
            next.accept(result.require());
        } else {
            onFailure.run();
        }
    }

    /**
     * Returns the rooms of the other cells that have an owner which has published them.
     *
     * @param pending the published records
     * @param owners the owners
     * @return the rooms by the name of the cell
     */
    private Map<String, PublishedRoom> roomsOf(StorePage pending, StorePage owners) {
        Map<String, OwnerRecord> ownersByCell = new HashMap<>();
        Map<String, Long> revisions = new HashMap<>();
        forEach(
                owners,
                CellKeys.OWNER_PREFIX,
                (cell, item) -> {
                    OwnerRecord owner = StoredValueCodec.decode(item.value(), OwnerRecord.class);
                    if (owner != null) {
                        ownersByCell.put(cell, owner);
                        revisions.put(cell, item.revision());
                    }
                });
        Map<String, PublishedRoom> rooms = new HashMap<>();
        forEach(
                pending,
                CellKeys.PENDING_PREFIX,
                (cell, item) -> {
                    PendingRecord record =
                            StoredValueCodec.decode(item.value(), PendingRecord.class);
                    OwnerRecord owner = ownersByCell.get(cell);
                    if (record != null
                            && owner != null
                            && record.generation() == owner.generation()
                            && context.siblingCells.contains(cell)) {
                        rooms.put(
                                cell, new PublishedRoom(record, revisions.getOrDefault(cell, 0L)));
                    }
                });
        return rooms;
    }

    /**
     * Passes each item of a page on with the name of its cell.
     *
     * @param page the page
     * @param prefix the prefix of the keys, which the name follows
     * @param action receives the name and the item
     */
    private static void forEach(
            StorePage page, String prefix, BiConsumer<String, StoreItem> action) {
        page.items().forEach(item -> action.accept(item.key().substring(prefix.length()), item));
    }

    /**
     * What the present owner of a cell has published.
     *
     * @param record the record
     * @param ownerRevision the revision of the owner's key
     */
    record PublishedRoom(PendingRecord record, long ownerRevision) {}
}

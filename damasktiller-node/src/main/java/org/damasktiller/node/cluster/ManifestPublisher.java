package org.damasktiller.node.cluster;

import java.util.List;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/**
 * Publishes what a new version of the manifest changes, so that processes far from the store need
 * not read all of it. The processes near the store take turns: the first one publishes at once, and
 * each of the others only if those before it have not done so in time.
 */
final class ManifestPublisher {

    /**
     * How long each process waits for the one before it, in milliseconds: longer than a write and
     * the watches that report it usually take.
     */
    private static final long TURN_MILLIS = 150;

    /** The dependencies of the cluster's components. */
    private final ClusterContext context;

    /** The name of the VM of this process. */
    private final String node;

    /** The version that this process read before the latest one, or null. */
    private @Nullable Manifest former;

    /** The store's revision of the former version. */
    private long formerRevision;

    /** The latest version that this process has read, or null. */
    private @Nullable Manifest latest;

    /** The store's revision of the latest version. */
    private long latestRevision;

    /**
     * Creates a publisher that knows no version.
     *
     * @param context the dependencies of the cluster's components
     * @param node the name of the VM of this process
     */
    ManifestPublisher(ClusterContext context, String node) {
        this.context = context;
        this.node = node;
    }

    /**
     * Publishes what a version changes, if this process is near the store and no other process does
     * it before.
     *
     * @param manifest the version, which this process has read from the operator's key
     * @param revision the store's revision of the version, higher than those of earlier calls
     */
    void onRead(Manifest manifest, long revision) {
        former = latest;
        formerRevision = latestRevision;
        latest = manifest;
        latestRevision = revision;
        int turn = turn();
        if (former == null || turn < 0) {
            return;
        }
        if (turn == 0) {
            publish(revision);
        } else {
            context.runtime().schedule(turn * TURN_MILLIS, () -> publish(revision));
        }
    }

    /**
     * Publishes the change to the latest version, unless a later one has been read since or the
     * change has been published.
     *
     * @param revision the store's revision of the version to publish
     */
    private void publish(long revision) {
        Manifest from = former;
        Manifest to = latest;
        StoreItem published = context.view().manifestChangeItem();
        ManifestChange change = context.view().manifestChange();
        if (from == null
                || to == null
                || revision != latestRevision
                || (change != null && change.toRevision() >= revision)) {
            return;
        }
        ManifestChange next = ManifestChange.between(formerRevision, from, revision, to);
        context.store()
                .commit(
                        new StoreTransaction()
                                .expectRevision(
                                        CellKeys.MANIFEST_CHANGE,
                                        published == null ? StoreItem.ABSENT : published.revision())
                                .put(CellKeys.MANIFEST_CHANGE, next.encode()),
                        result -> onPublished(next, result));
    }

    /**
     * Logs the result of a publication. It is not repeated: other processes take their turn, and
     * those that miss it read the version in full.
     *
     * @param change what was to be published
     * @param result the result
     */
    private void onPublished(ManifestChange change, StoreResult<?> result) {
        context.log().log(
                "manifest.published",
                "version",
                change.version(),
                "from",
                change.fromRevision(),
                "revision",
                change.toRevision(),
                "changed",
                change.changedRoutes().size(),
                "removed",
                change.removedRoutes().size(),
                "store",
                result.status());
    }

    /**
     * Returns the place of this process among those near the store.
     *
     * @return the place, 0 for the first; -1 if the process is not near the store or not registered
     */
    private int turn() {
        List<String> near =
                context.view().nodes().stream()
                        .filter(NodeRecord::near)
                        .map(NodeRecord::node)
                        .sorted()
                        .toList();
        return near.indexOf(node);
    }
}

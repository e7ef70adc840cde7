package org.damasktiller.node.cluster;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
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

    /** How many versions are kept, so that a change can begin with one of them. */
    private static final int MAX_VERSIONS = 4;

    /** The dependencies of the cluster's components. */
    private final ClusterContext context;

    /** The name of the VM of this process. */
    private final String node;

    /** The latest versions by the store's revision. */
    private final NavigableMap<Long, Manifest> versions = new TreeMap<>();

    /** The last change that this process has published, or null. */
    private @Nullable ManifestChange publishedChange;

    /** The store's revision of the key when this process published last. */
    private long publishedKeyRevision;

    /** Whether a publication has been sent and has no result yet. */
    private boolean publishing;

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
     * @param manifest the version
     * @param revision the store's revision of the version
     * @param published whether its change has been published
     */
    void onManifest(Manifest manifest, long revision, boolean published) {
        versions.put(revision, manifest);
        if (versions.size() > MAX_VERSIONS) {
            versions.pollFirstEntry();
        }
        int turn = published ? -1 : turn();
        if (turn == 0) {
            publishIfBehind();
        } else if (turn > 0) {
            context.runtime().schedule(turn * TURN_MILLIS, this::publishIfBehind);
        }
    }

    /** Publishes the change to the latest version, unless that is done or under way. */
    private void publishIfBehind() {
        ManifestChange change = publishing ? null : nextChange();
        if (change == null) {
            return;
        }
        long keyRevision = Math.max(publishedKeyRevision, context.view().manifestChangeRevision());
        publishing = true;
        context.store()
                .commit(
                        new StoreTransaction()
                                .expectRevision(CellKeys.MANIFEST_CHANGE, keyRevision)
                                .put(CellKeys.MANIFEST_CHANGE, change.encode()),
                        result -> onPublished(change, result));
    }

    /**
     * Chooses the change to publish: from the version that the last published change leads to, or
     * from the one before the latest if that version is not kept.
     *
     * @return the change, or null if the latest version is published or is the only one
     */
    private @Nullable ManifestChange nextChange() {
        long publishedTo =
                Math.max(toRevision(publishedChange), toRevision(context.view().manifestChange()));
        Map.Entry<Long, Manifest> to = versions.lastEntry();
        if (to == null || to.getKey() <= publishedTo) {
            return null;
        }
        Map.Entry<Long, Manifest> from =
                versions.containsKey(publishedTo)
                        ? versions.floorEntry(publishedTo)
                        : versions.lowerEntry(to.getKey());
        return from == null
                ? null
                : ManifestChange.between(
                        from.getKey(), from.getValue(), to.getKey(), to.getValue());
    }

    /**
     * Handles the result of a publication. One that failed is not repeated: other processes take
     * their turn, and those that miss it read the version in full.
     *
     * @param change what was to be published
     * @param result the result
     */
    private void onPublished(ManifestChange change, StoreResult<CommitReply> result) {
        publishing = false;
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
        if (result.status() == StoreStatus.OK) {
            publishedChange = change;
            publishedKeyRevision = result.require().revision();
            publishIfBehind();
        }
    }

    /**
     * Returns the revision of the version that a change leads to.
     *
     * @param change the change, or null
     * @return the store's revision, 0 if there is no change
     */
    private static long toRevision(@Nullable ManifestChange change) {
        return change == null ? 0 : change.toRevision();
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

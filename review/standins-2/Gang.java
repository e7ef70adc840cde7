import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The members of one run of a gang, on whichever workers they are. */
final class Gang {

    static final long CHECKPOINT_MILLIS = 2_000;
    static final long RESTORE_MILLIS = 250;

    private static final long TIMEOUT_MILLIS = 4_000;

    private final Rig rig;
    private final String name;
    private final int size;
    private final Map<Worker.Run, Worker> members = new LinkedHashMap<>();
    private final List<String> checkpoints = new ArrayList<>();
    private long workingSinceMillis = -1;
    private boolean over;

    Gang(Rig rig, String name, int size) {
        this.rig = rig;
        this.name = name;
        this.size = size;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Adds a member; the gang works from the moment when all are there. */
    synchronized void join(Worker.Run run, Worker worker, String checkpoint) {
        members.put(run, worker);
        checkpoints.add(checkpoint);
        if (members.size() == size) {
            if (checkpoints.stream().distinct().count() > 1) {
                rig.broke(
                        "UNASKED: the members of "
                                + name
                                + " are started with different checkpoints: "
                                + checkpoints);
            }
            workingSinceMillis = now();
            Net.thread("gang", () -> work(run.kind.millis(), checkpoint));
        } else if (members.size() == 1) {
            Net.thread("gang-timeout", this::timeOut);
        }
    }

    private void work(long millis, String checkpoint) {
        long saved = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint, 16);
        long left = millis - saved * CHECKPOINT_MILLIS;
        Rig.sleep(left + (saved > 0 ? RESTORE_MILLIS : 0));
        endAll("done", null);
    }

    private void timeOut() {
        Rig.sleep(TIMEOUT_MILLIS);
        synchronized (this) {
            if (workingSinceMillis >= 0) {
                return;
            }
        }
        endAll("alone", null);
    }

    /** Returns the last checkpoint of the gang. */
    synchronized String checkpoint() {
        String first = checkpoints.isEmpty() ? "" : checkpoints.get(0);
        long saved = first.isEmpty() ? 0 : Long.parseLong(first, 16);
        if (workingSinceMillis >= 0) {
            saved += (now() - workingSinceMillis) / CHECKPOINT_MILLIS;
        }
        return saved == 0 ? "" : String.format("%016x", saved);
    }

    /** Ends the other members, since one of them has ended. */
    void onMemberOver(Worker.Run run) {
        endAll("broken", run);
    }

    private void endAll(String how, Worker.Run except) {
        Map<Worker.Run, Worker> left;
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
            left = new LinkedHashMap<>(members);
        }
        String saved = checkpoint();
        left.forEach(
                (run, worker) -> {
                    if (run != except) {
                        Net.thread("end", () -> worker.end(run, how, saved));
                    }
                });
    }
}

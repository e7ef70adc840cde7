import java.util.List;

/** One worker goes down and up by turns while a watcher runs on each worker. */
final class FlappingWorker {

    private static final int WORKERS = 20;
    private static final int FLAPPING = 16;
    private static final long HALF_PERIOD_MILLIS = 700;
    private static final long SERIES_MILLIS = 6_500;
    private static final long WATCHED_MILLIS = 30_000;

    private FlappingWorker() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, 16_000, FlappingWorker::run);
    }

    private static int run(Rig rig, boolean trouble) throws Exception {
        rig.manifest(3);
        for (int index = 0; index < WORKERS; index++) {
            rig.addWorker(index, 0);
        }
        rig.startNodes(3);
        if (!rig.awaitReady(30_000)) {
            rig.say("the entry VMs were not ready");
            return 2;
        }
        Rig.sleep(3_000);
        Rig.Submission watchers =
                rig.submit(
                        1,
                        "/watch1/",
                        new Rig.TaskKind(2_300, 0),
                        WORKERS,
                        ",\"anti_affinity\":1");
        Rig.sleep(8_000);
        if (watchers.answer != 200 || !allWorkersHaveOne(rig)) {
            rig.say("the watchers were not at work");
            return 2;
        }
        flap(rig, trouble);
        long end = rig.millis() + WATCHED_MILLIS;
        String state = "";
        while (rig.millis() < end) {
            for (Rig.Node node : rig.nodes) {
                state = rig.ask(watchers, node);
                if (state.equals("failed") || state.equals("cancelled")) {
                    rig.broke(
                            "LOST: submission "
                                    + watchers.id
                                    + " is shown as "
                                    + state
                                    + "; "
                                    + rig.ends("failed")
                                    + " of its runs have ended failed");
                    return 1;
                }
            }
            Rig.sleep(1_000);
        }
        rig.say("the last answer is " + state + ", at work everywhere: " + allWorkersHaveOne(rig));
        return rig.breaks.isEmpty() ? 0 : 1;
    }

    private static boolean allWorkersHaveOne(Rig rig) {
        return rig.workers.stream().allMatch(worker -> worker.runCount() == 1);
    }

    private static void flap(Rig rig, boolean trouble) throws Exception {
        rig.say("disruption: one worker of " + WORKERS + " goes down and up by turns");
        long seriesEnd = rig.millis() + SERIES_MILLIS;
        while (rig.millis() < seriesEnd) {
            Worker worker =
                    List.copyOf(rig.workers).stream()
                            .filter(each -> each.index == FLAPPING)
                            .findAny()
                            .orElseThrow();
            if (trouble) {
                rig.workers.remove(worker);
                worker.crash();
                rig.say("worker " + worker.id + " is down");
            }
            Rig.sleep(HALF_PERIOD_MILLIS);
            if (trouble) {
                rig.addWorker(FLAPPING, worker.port);
            }
            Rig.sleep(HALF_PERIOD_MILLIS);
        }
        rig.say("the disruption is over");
    }
}

/** The two workers of a zone are lost for good while a submission that saves its work is there. */
final class ZoneWithoutWorkers {

    private static final int ZONES = 6;

    /** The zones of the workers; the first zone has two of the sixteen. */
    private static final int[] PLACES = {0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5};

    private static final long FINISH_MILLIS = 14_000;
    private static final long WATCHED_MILLIS = 25_000;

    private ZoneWithoutWorkers() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, 64_000, ZoneWithoutWorkers::run);
    }

    private static int run(Rig rig, boolean trouble) throws Exception {
        rig.zones =
                new String[] {
                    "leinster-dub", "leinster-kil", "leinster-wic",
                    "connacht-gal", "connacht-may", "connacht-ros"
                };
        rig.regions =
                new String[] {
                    "leinster", "leinster", "leinster", "connacht", "connacht", "connacht"
                };
        rig.cpuShare = "0.36";
        rig.manifest(3);
        for (int place : PLACES) {
            rig.addWorker(place, 0);
        }
        rig.startNodes(ZONES);
        if (!rig.awaitReady(40_000)) {
            rig.say("the entry VMs were not ready");
            return 2;
        }
        Rig.sleep(6_000);
        boolean saves = !"0".equals(System.getenv("SAVES"));
        Rig.Submission submission =
                rig.submit(
                        0,
                        "/batch1/",
                        new Rig.TaskKind(7_000, 12_000, false, saves),
                        4,
                        saves ? ",\"checkpointing\":true" : "");
        if (submission.answer != 200) {
            return 2;
        }
        Rig.sleep(5_000);
        if (trouble) {
            rig.say("disruption: the two workers of the first zone are lost for good");
            for (int number = 0; number < 2; number++) {
                Worker lost = rig.workers.remove(0);
                lost.crash();
            }
        }
        Rig.sleep(FINISH_MILLIS);
        long end = rig.millis() + WATCHED_MILLIS;
        long idleSince = rig.millis();
        while (rig.millis() < end) {
            String state = rig.ask(submission, rig.nodes.get(1));
            if (state.equals("succeeded")) {
                rig.say("the submission has succeeded");
                return 0;
            }
            if (rig.workers.stream().anyMatch(worker -> worker.runCount() > 0)) {
                idleSince = rig.millis();
            }
            Rig.sleep(200);
        }
        long idle = rig.millis() - idleSince;
        if (idle > 3_000) {
            rig.broke(
                    "LOST: submission "
                            + submission.id
                            + " is "
                            + submission.state
                            + " and has had nothing running for "
                            + idle
                            + " ms; "
                            + rig.workers.size()
                            + " sound workers run nothing at all");
            return 1;
        }
        return 2;
    }
}

/** A worker of a gang is lost, the entry VM in charge is restarted, and a new worker comes. */
final class GangOfAll {

    private static final int WORKERS = 8;

    private GangOfAll() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, 16_000, GangOfAll::run);
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
        Rig.Submission gang =
                rig.submit(
                        1,
                        "/batch1/",
                        new Rig.TaskKind(4_000, 20_000, true, true),
                        WORKERS,
                        ",\"gang\":true,\"checkpointing\":true,\"anti_affinity\":1");
        if (gang.answer != 200) {
            return 2;
        }
        Rig.sleep(7_000);
        if (trouble) {
            Worker lost = rig.workers.get(0);
            rig.workers.remove(lost);
            rig.say("disruption: worker " + lost.id + " is lost for good");
            lost.crash();
            Rig.sleep(8_000);
            rig.say("planned work: the entry VM in charge is stopped and started");
            rig.restart(rig.lastWriter(), "TERM");
            Rig.sleep(4_000);
            rig.addWorker(0, 0);
        }
        long end = rig.millis() + 50_000;
        while (rig.millis() < end && rig.breaks.isEmpty()) {
            String state = rig.ask(gang, rig.nodes.get(0));
            if (state.equals("succeeded")) {
                break;
            }
            Rig.sleep(500);
        }
        rig.say("the last answer is " + gang.state);
        if (!rig.breaks.isEmpty()) {
            return 1;
        }
        return gang.state.equals("succeeded") ? 0 : 2;
    }
}

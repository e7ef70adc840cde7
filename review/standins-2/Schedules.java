import java.io.IOException;
import java.util.Arrays;

/** Four submissions with many due occurrences come at once; the platform starts what ends. */
final class Schedules {

    private static final int SCHEDULES = 4;
    private static final int STEPS = 10;
    private static final int OCCURRENCES = 25_000;
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long RESTART_MILLIS = 1_000;
    private static final long WATCHED_MILLIS = 60_000;

    private Schedules() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, 64_000, Schedules::run);
    }

    private static int run(Rig rig, boolean trouble) throws Exception {
        rig.manifest(3);
        for (int index = 0; index < 12; index++) {
            rig.addWorker(index, 0);
        }
        rig.startNodes(3);
        if (!rig.awaitReady(30_000)) {
            rig.say("the entry VMs were not ready");
            return 2;
        }
        Rig.sleep(4_000);
        int[] exits = new int[rig.nodes.size()];
        Net.thread("platform", () -> restartEnded(rig, exits));
        Rig.Submission ordinary =
                rig.submitChain(1, "/quick1/", new Rig.TaskKind(7_000, 500), STEPS, 4);
        if (ordinary.answer != 200) {
            return 2;
        }
        long begin = rig.millis();
        if (trouble) {
            long start = System.currentTimeMillis() - OCCURRENCES * INTERVAL_MILLIS;
            for (int number = 0; number < SCHEDULES; number++) {
                rig.submitSchedule(
                        10 + number,
                        "/batch1/",
                        new Rig.TaskKind(700, 500),
                        start,
                        INTERVAL_MILLIS,
                        OCCURRENCES);
            }
        }
        rig.say("the traffic ends");
        long end = rig.millis() + WATCHED_MILLIS;
        while (rig.millis() < end) {
            rig.ask(ordinary, rig.nodes.get((int) (rig.millis() / 1_000) % rig.nodes.size()));
            int often = 0;
            for (int count : exits) {
                often += count >= 3 ? 1 : 0;
            }
            if (often >= 2) {
                rig.broke(
                        "Fault: entry VMs have ended by themselves "
                                + Arrays.toString(exits)
                                + " times in "
                                + (rig.millis() - begin) / 1_000
                                + " s");
                return 1;
            }
            Rig.sleep(1_000);
        }
        rig.say("entry VMs have ended by themselves " + Arrays.toString(exits) + " times");
        return ordinary.state.equals("succeeded") && Arrays.stream(exits).sum() == 0 ? 0 : 2;
    }

    private static void restartEnded(Rig rig, int[] exits) {
        while (true) {
            for (int number = 0; number < exits.length; number++) {
                Rig.Node node = rig.nodes.get(number);
                if (!node.process.isAlive()) {
                    exits[number]++;
                    rig.say(node.name + " has ended with " + node.process.exitValue());
                    Rig.sleep(RESTART_MILLIS);
                    try {
                        rig.start(node);
                    } catch (IOException exception) {
                        throw new IllegalStateException(exception);
                    }
                }
            }
            Rig.sleep(50);
        }
    }
}

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** A submission of many tasks, whose zone, a cell of its own, loses its workers for good. */
final class Case15 {

    private static final String ZONE = "z1";
    private static final int CPU_MILLIS = 360;
    private static final int WORKERS = 16;
    private static final int WORKERS_OF_ZONE = 2;
    private static final int TASKS = 200;
    private static final int TASK_MILLIS = 8_000;
    private static final long LOSS_AFTER_MILLIS = 4_000;

    /** The bound finish_s of the settings. */
    private static final long FINISH_MILLIS = 14_000;

    /** For how long more the case looks. */
    private static final long LOOK_MILLIS = 25_000;

    private Case15() {}

    /** Runs the case. */
    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(arguments[0], 6, ZONE, "z2", "z3", "z4", "z5", "z6");
        scene.nodes.cpuMillis = CPU_MILLIS;
        for (int number = 0; number < WORKERS; number++) {
            String zone = number < WORKERS_OF_ZONE ? ZONE : "z" + (number % 5 + 2);
            scene.worker("w" + number, zone, 8_000, "a", "r1-" + number / 4);
        }
        scene.start();
        Submission submission = scene.submission();
        Scene.step(submission.steps, TASKS, 200, TASK_MILLIS);
        JsonNode body = submission.body();
        int status = scene.clients.send(scene.nodes.all.get(0), "POST", Scene.QUEUE + submission.id, body).status();
        scene.record.add("client: POST %s at %s: %d", submission.id, scene.nodes.all.get(0).name, status);
        if (status != 200) {
            scene.exit(Scene.NOT_RUN, "the submission was not accepted");
        }
        Clients.pause(LOSS_AFTER_MILLIS);
        if (scene.fleet.rules.atWork() == 0) {
            scene.exit(Scene.NOT_RUN, "the submission did not start");
        }
        if (scene.trouble) {
            for (int number = 0; number < WORKERS_OF_ZONE; number++) {
                scene.fleet.workers.get("w" + number).crash(-1);
            }
        }
        long idleSince = scene.record.now();
        long end = scene.record.now() + FINISH_MILLIS + LOOK_MILLIS;
        while (scene.record.now() < end && !scene.fleet.rules.isDone(submission)) {
            idleSince = scene.fleet.rules.atWork() > 0 ? scene.record.now() : idleSince;
            Clients.pause(50);
        }
        String state = scene.clients.state(submission, Scene.QUEUE);
        long idle = scene.record.now() - idleSince;
        if (!scene.fleet.rules.isDone(submission) && idle > LOOK_MILLIS) {
            scene.fleet.rules.broken("LOST", "%s is %s and has had nothing running for %d ms, while %d workers run nothing",
                    submission.id, state, idle, WORKERS - WORKERS_OF_ZONE);
        }
        boolean broken = scene.fleet.rules.counts().containsKey("LOST");
        scene.exit(broken ? 1 : 0, broken ? "LOST is broken" : "LOST held");
    }
}

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** One submission inside the limits that has many steps, none of which waits for another. */
final class Case11 {

    private static final int STEPS = 15_000;
    private static final int ATTEMPTS = 5;

    private Case11() {}

    /** Runs the case. */
    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(arguments[0], 3, "z1", "z2", "z3");
        for (int number = 0; number < 8; number++) {
            scene.worker("w" + number, "z" + (number % 3 + 1), 8_000, "a", "r1-" + number / 4);
        }
        scene.start();
        OrdinaryWork.play(scene, "LOST", () -> {
            Submission wide = scene.submission();
            for (int step = 0; step < STEPS; step++) {
                wide.steps.addObject().put("count", 1);
            }
            ObjectNode body = wide.body();
            scene.record.add("a submission of %d steps, %d bytes", STEPS, body.toString().length());
            scene.clients.submit(wide, Scene.QUEUE, ATTEMPTS);
        });
    }
}

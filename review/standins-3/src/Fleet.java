import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The workers of a service, and what their tasks do. */
final class Fleet {

    static final String SERVICE = "svc";

    final Record record;
    final Store store;
    final Rules rules;
    final Map<String, Submission> submissions = new ConcurrentHashMap<>();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();

    /** The bounds of the settings. */
    final long holdMaxMillis = 6_000;

    final long stopMillis = 200;

    Fleet(Record record, Store store) {
        this.record = record;
        this.store = store;
        this.rules = new Rules(record, this);
    }

    static String submissionOf(String task) {
        return task.split("\\.")[0];
    }

    static int occurrenceOf(String task) {
        return Integer.parseInt(task.split("\\.")[1]);
    }

    static int stepOf(String task) {
        return Integer.parseInt(task.split("\\.")[2]);
    }

    static int indexOf(String task) {
        return Integer.parseInt(task.split("\\.")[3]);
    }

    static String stepNameOf(String task) {
        return task.substring(0, task.lastIndexOf('.'));
    }

    JsonNode stepSpec(String task) {
        Submission submission = submissions.get(submissionOf(task));
        return submission == null ? Http.object() : submission.step(stepOf(task));
    }

    /** Returns how long a task works, which is what its step estimates. */
    long workMillis(String task) {
        return Math.max(1, stepSpec(task).path("estimate_ms").asLong(300));
    }
}

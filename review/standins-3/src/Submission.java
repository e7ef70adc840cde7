import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A submission as its client knows it. */
final class Submission {

    final String id;
    final String spec;
    final ArrayNode steps;

    /** When a 2xx was received, or -1. */
    volatile long acceptedAt = -1;

    /** The last state that was shown. */
    volatile String state = "";

    Submission(String id, String spec, ArrayNode steps) {
        this.id = id;
        this.spec = spec;
        this.steps = steps;
    }

    JsonNode step(int number) {
        return steps.get(number);
    }

    ObjectNode body() {
        ObjectNode body = Http.object().put("spec", spec);
        body.set("steps", steps);
        return body;
    }
}

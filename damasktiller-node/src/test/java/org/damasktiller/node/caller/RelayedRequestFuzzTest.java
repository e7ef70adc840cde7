package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.damasktiller.platform.call.InvalidFieldException;
import org.damasktiller.platform.call.JsonBodies;
import org.damasktiller.standin.fuzz.DeployedStack;
import org.damasktiller.standin.fuzz.InputMutator;

/** Sends changed requests of peers through the decoder, and passes on what it accepts. */
class RelayedRequestFuzzTest {

    /** A valid request. */
    private static final String REQUEST =
            "{\"method\":\"POST\",\"host\":\"a.example\",\"path\":\"/plans/00000000000000a1\","
                    + "\"timeoutMillis\":900,\"manifestRevision\":7,\"body\":{\"spec\":\"work\","
                    + "\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"other\":[]}]}}";

    /** What becomes of a number that is too large for the decoder. */
    private static final String INFINITY = "Infinity\"";

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.randomValue(Random::nextLong);
    }

    @Property(seed = "71", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void changedRequestIsMalformedOrCanBeHandledAndPassedOn(@ForAll("seeds") long seed) {
        byte[] bytes = new InputMutator(new Random(seed)).changeJson(REQUEST);
        DeployedStack.call(() -> check(bytes));
    }

    /** Checks the outcome of a request. */
    private static boolean check(byte[] bytes) {
        RelayedRequest request;
        try {
            request = RelayedRequest.decode(JsonBodies.readRelayed(bytes));
        } catch (IOException | InvalidFieldException exception) {
            return false;
        }
        JsonBodies.write(request.body());
        byte[] encoded = JsonBodies.write(request.encode());
        if (new String(encoded, StandardCharsets.UTF_8).contains(INFINITY)) {
            return false; // RelayedRequestTest has this case
        }
        try {
            assertThat(RelayedRequest.decode(JsonBodies.readRelayed(encoded)), equalTo(request));
        } catch (IOException | InvalidFieldException exception) {
            throw new IllegalStateException(exception);
        }
        return true;
    }
}

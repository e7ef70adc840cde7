package org.damasktiller.verification.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.claim.ClaimScenario;

/** Runs random sequences of up to eight faults. */
class ClaimRandomFaultsTest {

    @Property(tries = 10_000, seed = "20261203")
    void testRandomFaults(@ForAll("sequences") Map<Integer, CallFault> faults) {
        assertThat(new ClaimScenario(faults).run(), is(empty()));
    }

    @Provide
    Arbitrary<Map<Integer, CallFault>> sequences() {
        Arbitrary<Integer> numbers = Arbitraries.integers().between(1, 200).withoutEdgeCases();
        Arbitrary<CallFault> faults =
                Arbitraries.of(CallFault.class)
                        .filter(fault -> fault != CallFault.NONE)
                        .filter(fault -> fault.compareTo(CallFault.WORKER_PARTITION) < 0);
        return Arbitraries.maps(numbers, faults).ofMinSize(2).ofMaxSize(8);
    }
}

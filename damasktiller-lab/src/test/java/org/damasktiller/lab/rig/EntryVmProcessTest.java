package org.damasktiller.lab.rig;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.policy.PolicySet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the addresses that the programs of entry VMs listen on. */
class EntryVmProcessTest {

    @TempDir private Path directory;

    // Entry VMs ended with "Address already in use" when other programs had taken their ports.
    @Test
    void programThatTakesPortOfEntryVmMeanwhileDoesNotKeepItFromListening() throws IOException {
        InetSocketAddress address = create(0).callerAddress();

        try (ServerSocket other = new ServerSocket();
                ServerSocket program = new ServerSocket()) {
            takeIfFree(
                    other,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), address.getPort()));
            program.bind(address);
            assertThat(program.isBound(), is(true));
        }
    }

    @Test
    void entryVmsHaveDifferentAddresses() {
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (int number = 0; number < 50; number++) {
            addresses.add(create(number).callerAddress());
        }

        assertThat(addresses, hasSize(50));
    }

    private static void takeIfFree(ServerSocket socket, InetSocketAddress address)
            throws IOException {
        try {
            socket.bind(address);
        } catch (BindException exception) {
            assertThat("another program has it", socket.isBound(), is(false));
        }
    }

    private EntryVmProcess create(int number) {
        return new EntryVmProcess(
                "entry-" + number,
                "zone-1",
                Map.of("zone-1", "region-1"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                PolicySet.ALL,
                ProcessLimits.DEPLOYED,
                directory);
    }
}

package org.damasktiller.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.junit.jupiter.api.Test;

class PeerCodecTest {

    @Test
    void testHelloIsReadAsWritten() {
        PeerMessage hello =
                new PeerMessage.Hello(
                        PeerCodec.FORMAT_VERSION,
                        "cluster",
                        new VmId("10.0.0.1:8082"),
                        new ZoneName("leinster-1"),
                        new RegionName("leinster"));
        assertThat(PeerCodec.decode(PeerCodec.encode(hello), "peer"), is(hello));
    }

    @Test
    void testCallIsReadAsWritten() {
        byte[] body = {1, 2, 3};
        PeerMessage.Call call =
                (PeerMessage.Call)
                        PeerCodec.decode(PeerCodec.encode(new PeerMessage.Call(5, body)), "peer");
        assertThat(call.number(), is(5L));
        assertThat(call.body(), is(body));
    }

    @Test
    void testBrokenMessageIsAProtocolError() {
        byte[] broken = {(byte) 0xc1, 0, 1};
        DamasktillerException failure =
                assertThrows(DamasktillerException.class, () -> PeerCodec.decode(broken, "peer"));
        assertThat(failure.code(), is(ErrorCode.PROTOCOL_ERROR));
        assertThat(failure.peer(), is("peer"));
    }

    @Test
    void testOversizeMessageIsAProtocolError() {
        byte[] large = new byte[PeerCodec.MAXIMUM_BYTES + 1];
        assertThrows(DamasktillerException.class, () -> PeerCodec.decode(large, "peer"));
    }
}

package org.damasktiller.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.junit.jupiter.api.Test;

class GossipCodecTest {

    private static final VmId SENDER = new VmId("10.0.0.1:7000");
    private static final ZoneName ZONE = new ZoneName("banat-1");
    private static final GossipMessage MESSAGE =
            new GossipMessage(
                    GossipType.PING,
                    SENDER,
                    9_000_000_000L,
                    true,
                    3,
                    null,
                    new VmId("10.0.0.2:7000"),
                    -5,
                    12,
                    List.of(new Rumor(RumorSubject.ENDPOINT, "e", 4, MemberStatus.LEAVING)));

    private final GossipCodec codec = new GossipCodec(ZONE, "corrib");

    @Test
    void testMessageIsReadBack() {
        assertThat(codec.decode(codec.encode(MESSAGE), "source"), is(MESSAGE));
    }

    @Test
    void testOtherZoneAndClusterAreRefused() {
        refused(new GossipCodec(new ZoneName("banat-2"), "corrib").encode(MESSAGE));
        refused(new GossipCodec(ZONE, "carpatica").encode(MESSAGE));
    }

    @Test
    void testDamagedDatagramsAreRefused() {
        byte[] bytes = codec.encode(MESSAGE);
        refused(new byte[0]);
        refused(new byte[2_000]);
        for (int length = 1; length < bytes.length; length++) {
            refused(Arrays.copyOf(bytes, length));
        }
    }

    @Test
    void testRumorWithoutNameIsRefused() {
        GossipMessage nameless =
                new GossipMessage(
                        GossipType.RUMOR,
                        SENDER,
                        1,
                        false,
                        0,
                        null,
                        null,
                        0,
                        0,
                        List.of(new Rumor(RumorSubject.MEMBER, " ", 1, MemberStatus.DEAD)));
        refused(codec.encode(nameless));
    }

    private void refused(byte[] bytes) {
        DamasktillerException error =
                assertThrows(DamasktillerException.class, () -> codec.decode(bytes, "10.0.0.9:1"));
        assertThat(error.code(), is(ErrorCode.PROTOCOL_ERROR));
        assertThat(error.peer(), is("10.0.0.9:1"));
    }
}

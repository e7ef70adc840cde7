package org.damasktiller.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.damasktiller.identity.ZoneName;
import org.junit.jupiter.api.Test;

class UnansweredWriteTest {

    private static final ZoneName HERE = new ZoneName("leinster-1");
    private static final ZoneName ELSEWHERE = new ZoneName("connacht-1");

    private final EscrowedLimit limit = new EscrowedLimit(HERE, 2, 4);

    @Test
    void testShareStaysSmallWhileASmallerOneMayStillLand() {
        limit.onRead(LimitRecord.EMPTY, 0);
        limit.setWaiting(4);
        limit.next();
        limit.onAnswer(true, 1);
        assertThat(limit.usable(), is(4));

        LimitRecord wantedElsewhere =
                LimitRecord.EMPTY
                        .with(HERE, new ZoneShare(4, 4))
                        .with(ELSEWHERE, new ZoneShare(0, 4));
        limit.onRead(wantedElsewhere, 2);
        limit.setWaiting(0);
        int smaller = limit.next().orElseThrow().record().share(HERE).granted();
        limit.onNoAnswer();
        limit.onRead(wantedElsewhere, 2);
        assertThat(limit.usable(), is(smaller));
        assertThat(smaller < 4, is(true));
    }
}

package org.damasktiller.authority.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.junit.jupiter.api.Test;

class AtMostOnceRequestTest {

    private static final ClaimKey KEY =
            new ClaimKey(new TenantName("t"), new KindName("billing"), new RequestKey("k"));

    private static final ClaimNonce NONCE = new ClaimNonce("vm p 1");

    private static final GiveBack GIVE_BACK = new GiveBack(KEY, NONCE);

    private final AtMostOnceRequest request = new AtMostOnceRequest(KEY, NONCE, 1_000);

    @Test
    void testLifeOfAnAnsweredRequest() {
        assertThat(request.tick(0), contains(new AskShard(KEY, NONCE)));
        assertThat(request.claimAnswered(new ClaimGranted(), 5), contains(new SendRequest()));
        assertThat(
                request.answered(),
                contains(new FinishRequest(Outcome.RUN, null), new ReportAnswered(KEY, NONCE)));
        assertThat(request.answered(), is(empty()));
        assertThat(request.sendFailed(), is(empty()));
        assertThat(request.tick(2_000), is(empty()));
    }

    @Test
    void testSecondGrantIsNotSentAgain() {
        request.tick(0);
        request.claimAnswered(new ClaimGranted(), 5);
        assertThat(request.claimAnswered(new ClaimGranted(), 6), is(empty()));
        assertThat(request.sendFailed(), contains(unknown(ErrorCode.ENDPOINT_FAILED)));
        assertThat(request.claimAnswered(new ClaimGranted(), 7), is(empty()));
    }

    @Test
    void testGrantAfterTheDeadlineIsNotSent() {
        request.tick(0);
        assertThat(
                request.claimAnswered(new ClaimGranted(), 1_000),
                contains(notRun(ErrorCode.DEADLINE_EXCEEDED), GIVE_BACK));
        assertThat(request.claimAnswered(new ClaimGranted(), 1_001), contains(GIVE_BACK));
    }

    @Test
    void testRefusedUntilTheDeadlineIsNotRun() {
        request.tick(0);
        ClaimRefused refused = new ClaimRefused(ErrorCode.STORE_UNAVAILABLE, "", 400);
        assertThat(request.claimAnswered(refused, 5), is(empty()));
        assertThat(request.tick(404), is(empty()));
        assertThat(request.tick(405), contains(new AskShard(KEY, NONCE)));
        assertThat(request.tick(1_000), contains(notRun(ErrorCode.STORE_UNAVAILABLE), GIVE_BACK));
        assertThat(request.claimAnswered(new ClaimGranted(), 1_001), contains(GIVE_BACK));
    }

    @Test
    void testTakenClaimTellsWhatIsKnown() {
        request.tick(0);
        assertThat(
                request.claimAnswered(new ClaimTaken(false), 5),
                contains(unknown(ErrorCode.ALREADY_CLAIMED)));
        AtMostOnceRequest other = new AtMostOnceRequest(KEY, NONCE, 1_000);
        assertThat(
                other.claimAnswered(new ClaimTaken(true), 5),
                contains(new FinishRequest(Outcome.RUN, ErrorCode.ALREADY_CLAIMED)));
    }

    @Test
    void testSilenceAfterTheSendIsUnknown() {
        request.tick(0);
        request.claimAnswered(new ClaimGranted(), 5);
        assertThat(request.tick(999), is(empty()));
        assertThat(request.tick(1_000), contains(unknown(ErrorCode.DEADLINE_EXCEEDED)));
        assertThat(request.answered(), is(empty()));
    }

    @Test
    void testSendOfWhichNothingLeftMayBeRepeated() {
        request.tick(0);
        assertThat(request.sendNotBegun(1), is(empty()));
        request.claimAnswered(new ClaimGranted(), 5);
        assertThat(request.sendNotBegun(6), contains(new SendRequest()));
        assertThat(request.noEndpoint(), contains(notRun(ErrorCode.NO_ENDPOINT), GIVE_BACK));
        assertThat(request.sendNotBegun(7), is(empty()));
    }

    @Test
    void testNoncesDifferBetweenProcessesOfAVm() {
        ClaimNonces first = new ClaimNonces(new OwnerIdentity(new VmId("vm"), "a"));
        ClaimNonces second = new ClaimNonces(new OwnerIdentity(new VmId("vm"), "b"));
        ClaimNonce nonce = first.next();
        assertThat(first.next(), is(not(nonce)));
        assertThat(second.next(), is(not(nonce)));
    }

    private static FinishRequest notRun(ErrorCode code) {
        return new FinishRequest(Outcome.NOT_RUN, code);
    }

    private static FinishRequest unknown(ErrorCode code) {
        return new FinishRequest(Outcome.OUTCOME_UNKNOWN, code);
    }
}

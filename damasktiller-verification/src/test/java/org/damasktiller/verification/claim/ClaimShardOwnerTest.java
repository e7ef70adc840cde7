package org.damasktiller.verification.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.authority.call.SwapCall;
import org.damasktiller.authority.claim.AskClaim;
import org.damasktiller.authority.claim.ClaimAction;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimEvent;
import org.damasktiller.authority.claim.ClaimGranted;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.authority.claim.ClaimRefused;
import org.damasktiller.authority.claim.ClaimReply;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.authority.claim.ClaimShardOwner;
import org.damasktiller.authority.claim.ClaimStoreAnswered;
import org.damasktiller.authority.claim.ClaimStoreFailed;
import org.damasktiller.authority.claim.ClaimStoreRequest;
import org.damasktiller.authority.claim.ClaimTaken;
import org.damasktiller.authority.claim.ClaimTick;
import org.damasktiller.authority.claim.ClaimsReleased;
import org.damasktiller.authority.claim.CompleteClaim;
import org.damasktiller.authority.claim.DrainClaims;
import org.damasktiller.authority.claim.ReleaseClaim;
import org.damasktiller.authority.commit.CommitSettings;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.authority.ownership.OwnershipSettings;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.damasktiller.standin.store.StoreCallHandler;
import org.damasktiller.standin.store.StoreState;
import org.junit.jupiter.api.Test;

class ClaimShardOwnerTest {

    private static final long RETENTION_MILLIS = 60_000;

    private static final ClaimSettings SETTINGS =
            new ClaimSettings(
                    new OwnershipSettings(3_000, 1_000, 500, 0, 0, 0, 500),
                    new CommitSettings(1_000, 1_000, 64 * 1024, 512 * 1024, 100, 1_000),
                    1_000,
                    2_000,
                    RETENTION_MILLIS,
                    50,
                    10);

    private final StoreState store = new StoreState();

    private long nowMillis = 1_000_000;

    private boolean storeUp = true;

    private long lastReplyId;

    private long swaps;

    private final List<ClaimAction> replies = new ArrayList<>();

    @Test
    void testClaimIsGrantedToOneNonceOnly() {
        ClaimShardOwner owner = owner("a");
        assertThat(ask(owner, "k", "one"), contains(new ClaimGranted()));
        assertThat(ask(owner, "k", "one"), contains(new ClaimGranted()));
        assertThat(ask(owner, "k", "two"), contains(new ClaimTaken(false)));
        carryOut(
                owner, owner.handle(new CompleteClaim(key("k"), new ClaimNonce("one")), nowMillis));
        tick(owner);
        assertThat(ask(owner, "k", "two"), contains(new ClaimTaken(true)));
        assertThat(ask(owner, "k", "one"), contains(new ClaimTaken(true)));
    }

    @Test
    void testSuccessorKnowsTheClaims() {
        ClaimShardOwner owner = owner("a");
        ask(owner, "k", "one");
        nowMillis += 10_000;
        ClaimShardOwner successor = owner("b");
        assertThat(ask(successor, "k", "two"), contains(new ClaimTaken(false)));
        assertThat(ask(successor, "k", "one"), contains(new ClaimGranted()));
        assertThat(
                "the old owner must not grant a new key",
                ask(owner, "new", "one"),
                contains(instanceOf(ClaimRefused.class)));
        assertThat(owner.active(), is(false));
    }

    @Test
    void testReleasedClaimMayBeClaimedByAnotherNonce() {
        ClaimShardOwner owner = owner("a");
        ask(owner, "k", "one");
        carryOut(
                owner,
                owner.handle(new ReleaseClaim(key("k"), new ClaimNonce("other")), nowMillis));
        tick(owner);
        assertThat(ask(owner, "k", "two"), contains(new ClaimTaken(false)));
        carryOut(owner, owner.handle(new ReleaseClaim(key("k"), new ClaimNonce("one")), nowMillis));
        tick(owner);
        assertThat(ask(owner, "k", "one"), contains(new ClaimTaken(false)));
        assertThat(ask(owner, "k", "two"), contains(new ClaimGranted()));
        assertThat(ask(owner, "k", "one"), contains(new ClaimTaken(false)));
    }

    @Test
    void testClaimGivenBackBeforeItsCommitIsReleasedAfterIt() {
        ClaimShardOwner owner = owner("a");
        List<ClaimAction> writes =
                owner.handle(new AskClaim(1, key("k"), new ClaimNonce("one")), nowMillis);
        carryOut(owner, owner.handle(new ReleaseClaim(key("k"), new ClaimNonce("one")), nowMillis));
        carryOut(owner, writes);
        tick(owner);
        assertThat(ask(owner, "k", "two"), contains(new ClaimGranted()));
    }

    @Test
    void testClaimIsForgottenAfterTheRetentionOnly() {
        ClaimShardOwner owner = owner("a");
        ask(owner, "k", "one");
        wait(owner, RETENTION_MILLIS - 1_000);
        assertThat(ask(owner, "k", "two"), contains(new ClaimTaken(false)));
        wait(owner, 2_000);
        assertThat(owner.claimCount(), is(0));
        assertThat(ask(owner, "k", "two"), contains(new ClaimGranted()));
    }

    @Test
    void testStoreOutageRefusesNewClaimsAndGrantsOldOnesAgain() {
        ClaimShardOwner owner = owner("a");
        ask(owner, "old", "one");
        storeUp = false;
        wait(owner, 1_500);
        assertThat(ask(owner, "old", "one"), contains(new ClaimGranted()));
        assertThat(ask(owner, "new", "one"), contains(refused(ErrorCode.STORE_UNAVAILABLE)));
        storeUp = true;
        wait(owner, 3_000);
        assertThat(ask(owner, "new", "one"), contains(new ClaimGranted()));
    }

    @Test
    void testQuestionIsRefusedWhenItsCommitTakesTooLong() {
        ClaimShardOwner owner = owner("a");
        owner.handle(new AskClaim(1, key("k"), new ClaimNonce("one")), nowMillis);
        storeUp = false;
        wait(owner, 2_500);
        assertThat(replies, contains(new ClaimReply(1, refused(ErrorCode.STORE_UNAVAILABLE))));
    }

    @Test
    void testStateIsBounded() {
        ClaimShardOwner owner = owner("a");
        for (int number = 0; number < 50; number++) {
            ask(owner, "k" + number, "one");
        }
        assertThat(ask(owner, "more", "one"), contains(refused(ErrorCode.OVERLOADED)));
        assertThat(owner.claimCount(), is(50));
        String longKey = "k".repeat(2_000);
        assertThat(ask(owner, longKey, "one"), contains(refused(ErrorCode.BAD_REQUEST)));
    }

    @Test
    void testManyClaimsShareAWrite() {
        ClaimShardOwner owner = owner("a");
        long before = swaps;
        List<ClaimAction> actions = new ArrayList<>();
        for (long id = 1; id <= 10; id++) {
            ClaimKey key = key("k" + id);
            actions.addAll(owner.handle(new AskClaim(id, key, new ClaimNonce("n")), nowMillis));
        }
        carryOut(owner, actions);
        tick(owner);
        assertThat(replies.size(), is(10));
        assertThat(swaps - before, is(2L));
    }

    @Test
    void testDrainReleasesTheShard() {
        ClaimShardOwner owner = owner("a");
        ask(owner, "k", "one");
        carryOut(owner, owner.handle(new DrainClaims(), nowMillis));
        tick(owner);
        assertThat(replies.get(replies.size() - 1), instanceOf(ClaimsReleased.class));
        nowMillis += 600;
        assertThat(ask(owner("b"), "k", "two"), contains(new ClaimTaken(false)));
    }

    @Test
    void testStandbyRefuses() {
        owner("a");
        ClaimShardOwner standby =
                new ClaimShardOwner(SETTINGS, 0, new OwnerIdentity(new VmId("b"), "b"));
        tick(standby);
        assertThat(ask(standby, "k", "one"), contains(instanceOf(ClaimRefused.class)));
        assertThat(standby.active(), is(false));
        assertThat(standby.holder().length(), greaterThan(0));
    }

    @Test
    void testEachQuestionIsAnsweredOnce() {
        ClaimShardOwner owner = owner("a");
        ClaimNonce nonce = new ClaimNonce("one");
        List<ClaimAction> actions = new ArrayList<>();
        for (long id = 1; id <= 6; id++) {
            actions.addAll(owner.handle(new AskClaim(id, key("k"), nonce), nowMillis));
        }
        carryOut(owner, actions);
        assertThat(
                replies.stream().map(each -> ((ClaimReply) each).replyId()).sorted().toList(),
                contains(1L, 2L, 3L, 4L, 5L, 6L));
        replies.clear();
        wait(owner, 3_000);
        assertThat(replies, is(empty()));
    }

    private ClaimShardOwner owner(String name) {
        OwnerIdentity identity = new OwnerIdentity(new VmId(name), name);
        ClaimShardOwner owner = new ClaimShardOwner(SETTINGS, 0, identity);
        wait(owner, 1_000);
        assertThat(owner.active(), is(true));
        return owner;
    }

    private static ClaimKey key(String key) {
        return new ClaimKey(new TenantName("t"), new KindName("billing"), new RequestKey(key));
    }

    private static ClaimRefused refused(ErrorCode code) {
        return new ClaimRefused(code, "a a", 250);
    }

    private List<ClaimAnswer> ask(ClaimShardOwner owner, String key, String nonce) {
        replies.clear();
        lastReplyId++;
        ClaimNonce claimed = new ClaimNonce(nonce);
        carryOut(owner, owner.handle(new AskClaim(lastReplyId, key(key), claimed), nowMillis));
        if (replies.isEmpty()) {
            tick(owner);
        }
        return replies.stream().map(each -> ((ClaimReply) each).answer()).toList();
    }

    private void tick(ClaimShardOwner owner) {
        nowMillis += 50;
        carryOut(owner, owner.handle(new ClaimTick(), nowMillis));
    }

    private void wait(ClaimShardOwner owner, long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            tick(owner);
        }
    }

    private void carryOut(ClaimShardOwner owner, List<ClaimAction> actions) {
        for (ClaimAction action : actions) {
            if (action instanceof ClaimStoreRequest request) {
                carryOut(owner, owner.handle(atStore(request), nowMillis));
            } else {
                replies.add(action);
            }
        }
    }

    private ClaimEvent atStore(ClaimStoreRequest request) {
        swaps += request.call() instanceof SwapCall ? 1 : 0;
        return storeUp
                ? new ClaimStoreAnswered(
                        request.callId(), StoreCallHandler.handle(store, request.call(), nowMillis))
                : new ClaimStoreFailed(request.callId());
    }
}

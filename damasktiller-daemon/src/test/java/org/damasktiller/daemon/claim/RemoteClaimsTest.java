package org.damasktiller.daemon.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimGranted;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.authority.claim.ClaimRefused;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.authority.claim.ClaimShards;
import org.damasktiller.authority.claim.ClaimTaken;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.standin.store.StoreService;
import org.damasktiller.standin.store.StoreState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RemoteClaimsTest {

    private static final VmId OWNER = new VmId("127.0.0.1:1");
    private static final VmId FORWARDER = new VmId("127.0.0.1:2");
    private static final ClaimKey KEY =
            new ClaimKey(
                    new TenantName("office"), new KindName("invoice"), new RequestKey("key-1"));

    private final ExecutorService pool = Executors.newFixedThreadPool(2);
    private Eventloop eventloop;
    private ClaimHost owner;
    private RemoteClaims remote;

    @BeforeEach
    void startOwner() {
        eventloop = EventLoops.start("owner");
        OwnerEnvironment environment =
                new OwnerEnvironment(
                        eventloop,
                        pool,
                        CurrentTimeProvider.ofSystem(),
                        new StoreService(eventloop, new StoreState()),
                        (worker, command) ->
                                Promise.ofException(new IllegalStateException("no worker")));
        remote = new RemoteClaims((to, body) -> RemoteClaims.serve(owner, FORWARDER, body));
        owner =
                new ClaimHost(
                        new ClaimShards(1),
                        new OwnerIdentity(OWNER, "process"),
                        ClaimSettings.DEFAULT,
                        environment,
                        remote);
        eventloop.execute(owner::start);
    }

    @AfterEach
    void stopOwner() {
        eventloop.execute(owner::stop);
        eventloop.execute(eventloop::breakEventloop);
        pool.shutdown();
    }

    @Test
    void testGrantAndRefusalReachTheForwarder() {
        assertThat(ask("nonce-1"), is(new ClaimGranted()));
        assertThat(ask("nonce-1"), is(new ClaimGranted()));
        assertThat(ask("nonce-2"), is(new ClaimTaken(false)));
        eventloop.submit(() -> remote.complete(OWNER, KEY, new ClaimNonce("nonce-1"))).join();
        assertThat(ask("nonce-2"), is(new ClaimTaken(true)));
    }

    @Test
    void testReleasedClaimIsGrantedToAnother() {
        assertThat(ask("nonce-1"), is(new ClaimGranted()));
        eventloop.submit(() -> remote.release(OWNER, KEY, new ClaimNonce("nonce-1"))).join();
        assertThat(ask("nonce-2"), is(new ClaimGranted()));
    }

    @Test
    void testBrokenCallIsAProtocolError() {
        byte[] broken = {(byte) 0xc1, 1, 2};
        DamasktillerException failure =
                Assertions.assertThrows(
                        DamasktillerException.class,
                        () -> RemoteClaims.serve(owner, FORWARDER, broken));
        assertThat(failure.code(), is(ErrorCode.PROTOCOL_ERROR));
    }

    private ClaimAnswer ask(String nonce) {
        ClaimAnswer answer;
        do {
            answer = eventloop.submit(() -> remote.ask(OWNER, KEY, new ClaimNonce(nonce))).join();
        } while (answer instanceof ClaimRefused);
        return answer;
    }
}

package org.damasktiller.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.Spill;
import org.damasktiller.table.WorkClass;

/** Drives a router with a paused clock and keeps what it asked for. */
final class RouterWorld {

    static final ZoneName ZONE = new ZoneName("leinster-1");
    static final RegionName REGION = new RegionName("leinster");

    final List<RoutingAction> actions = new ArrayList<>();
    final RequestRouter router;
    long now;
    private long lastNumber;

    RouterWorld(RoutingSettings settings, EndpointDescription... endpoints) {
        router =
                RequestRouter.builder(ZONE, REGION, new SplittableRandom(11))
                        .settings(settings)
                        .build();
        router.replaceEndpoints(List.of(endpoints), 0);
    }

    static RouterWorld withEndpoints(int count, int slots) {
        EndpointDescription[] endpoints = new EndpointDescription[count];
        for (int index = 0; index < count; index++) {
            endpoints[index] = endpoint("e" + index, ZONE, REGION, slots);
        }
        return new RouterWorld(RoutingSettings.DEFAULT, endpoints);
    }

    static EndpointDescription endpoint(String id, ZoneName zone, RegionName region, int slots) {
        return new EndpointDescription(
                new EndpointId(id), "127.0.0.1:1", zone, region, slots, 64, false);
    }

    static KindOfWork kind(Repeat repeat, Spill spill) {
        return KindOfWork.builder(new KindName("k-" + repeat + spill), new TenantName("t"))
                .workClass(WorkClass.INTERACTIVE)
                .repeat(repeat)
                .spill(spill)
                .build();
    }

    long submit(Repeat repeat, long waitMillis) {
        return submit(kind(repeat, Spill.REGION), waitMillis);
    }

    long submit(KindOfWork kind, long waitMillis) {
        lastNumber++;
        RequestKey key = new RequestKey("key-" + lastNumber);
        RoutingRequest request =
                new RoutingRequest(lastNumber, kind, kind.tenant(), key, now + waitMillis, true);
        actions.addAll(router.submit(request, now));
        return lastNumber;
    }

    void complete(RoutingAction.Send send, AttemptOutcome outcome) {
        actions.addAll(router.completed(send.number(), send.attempt(), outcome, now));
    }

    void claimed(long number, ClaimOutcome outcome) {
        actions.addAll(router.claimed(number, outcome, now));
    }

    void advance(long millis) {
        long end = now + millis;
        while (router.nextTimerMillis(now) <= end) {
            now = Math.max(now, router.nextTimerMillis(now));
            actions.addAll(router.advance(now));
        }
        now = end;
    }

    <T extends RoutingAction> List<T> all(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends RoutingAction> T last(Class<T> type) {
        List<T> found = all(type);
        return found.get(found.size() - 1);
    }

    List<RoutingAction.Send> takeSends() {
        List<RoutingAction.Send> sends = all(RoutingAction.Send.class);
        actions.clear();
        return sends;
    }
}

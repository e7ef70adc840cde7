package org.damasktiller.verification.fault;

import java.util.Locale;
import org.damasktiller.authority.call.GrantLeaseCall;
import org.damasktiller.authority.call.ReadCall;
import org.damasktiller.authority.call.RenewLeaseCall;
import org.damasktiller.authority.call.RevokeLeaseCall;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.authority.call.SwapCall;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.authority.cell.StoreRequest;
import org.damasktiller.authority.cell.WorkerRequest;
import org.damasktiller.authority.commit.LogCodec;

/** Names the step of the protocol that a call belongs to. */
final class StepNames {

    private static final LogCodec CODEC = new LogCodec();

    private StepNames() {}

    static String of(CellAction call) {
        if (call instanceof WorkerRequest request) {
            String type = request.command().getClass().getSimpleName();
            return type.replace("Command", "").toLowerCase(Locale.ROOT);
        }
        return ofStore(((StoreRequest) call).call());
    }

    private static String ofStore(StoreCall call) {
        if (call instanceof ReadCall read) {
            return "read-" + part(read.key());
        }
        if (call instanceof GrantLeaseCall) {
            return "grant-lease";
        }
        if (call instanceof RenewLeaseCall) {
            return "renew-lease";
        }
        if (call instanceof RevokeLeaseCall) {
            return "revoke-lease";
        }
        return ofSwap((SwapCall) call);
    }

    private static String ofSwap(SwapCall swap) {
        String part = part(swap.request().key());
        byte[] value = swap.request().value();
        if (value == null) {
            return "delete-" + part;
        }
        if (!part.equals("head")) {
            return "write-" + part;
        }
        boolean takeover = CODEC.decodeHead(value).writeIdentity().contains("takeover");
        return takeover ? "take-over" : "commit";
    }

    private static String part(String key) {
        return key.contains("/segment/") ? "segment" : key.substring(key.lastIndexOf('/') + 1);
    }
}

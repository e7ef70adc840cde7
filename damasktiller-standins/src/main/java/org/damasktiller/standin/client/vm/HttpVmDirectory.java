package org.damasktiller.standin.client.vm;

import io.activej.promise.Promise;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Step;
import org.damasktiller.standin.http.CallContext;
import org.damasktiller.standin.http.JsonClient;
import org.damasktiller.vm.VmChanges;
import org.damasktiller.vm.VmDirectory;

/** Reads the platform's list of VMs over HTTP and JSON. */
public final class HttpVmDirectory implements VmDirectory {

    /** The path of the list. */
    public static final String PATH = "/vms";

    /** The parameter with the revision of the earlier reading. */
    public static final String AFTER_PARAMETER = "after";

    /** The client. */
    private final JsonClient client;

    /** The address of the list. */
    private final String url;

    /** How long to wait for the list, in milliseconds. */
    private final long timeoutMillis;

    /**
     * Creates a client of the list.
     *
     * @param client the client for the calls
     * @param address the IP address and port of the service
     * @param timeoutMillis how long to wait for an answer, in milliseconds
     */
    public HttpVmDirectory(JsonClient client, String address, long timeoutMillis) {
        this.client = client;
        this.url = "http://" + address + PATH;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public Promise<VmChanges> changesSince(long revision) {
        CallContext context =
                new CallContext(Step.READ, "vm list", ErrorCode.STORE_UNAVAILABLE, timeoutMillis);
        String query = "?" + AFTER_PARAMETER + "=" + revision;
        return client.get(url + query, VmChanges.class, context);
    }
}

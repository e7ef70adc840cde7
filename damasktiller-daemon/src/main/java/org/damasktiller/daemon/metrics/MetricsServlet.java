package org.damasktiller.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.concurrent.TimeUnit;

/** Answers with all metrics as JSON: rates a second, times in milliseconds. */
public final class MetricsServlet implements AsyncServlet {

    /** The registry. */
    private final MetricRegistry registry;

    /** Writes the registry. */
    private final ObjectMapper mapper =
            new ObjectMapper()
                    .registerModule(
                            new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    /**
     * Creates a servlet.
     *
     * @param registry the registry
     */
    public MetricsServlet(MetricRegistry registry) {
        this.registry = registry;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) throws JsonProcessingException {
        return HttpResponse.ok200().withJson(mapper.writeValueAsString(registry)).toPromise();
    }
}

package org.jasminehub.standin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.http.Address;
import org.jasminehub.platform.weights.HttpWeightStore.WeightsJson;

/** A weight store that serves at most a fixed number of experts per second and rejects further requests. Thread-safe. */
public final class WeightStoreStandin implements AutoCloseable {
    private static final long EXPERT_SIZE_BYTES = 64L * 1024 * 1024;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final StandinServer server;
    private final Clock clock;
    private final int expertsPerSecond;
    private long currentSecond;
    private int servedThisSecond;

    /** Starts a store on {@code port}; port 0 selects a free one. */
    public WeightStoreStandin(ClassicActorSystemProvider system, int port, Clock clock, int expertsPerSecond) {
        this.clock = clock;
        this.expertsPerSecond = expertsPerSecond;
        this.server = StandinServer.start(system, port, this::handle);
    }

    /** Returns the address on which the server listens. */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized CompletionStage<HttpResponse> handle(HttpRequest request) {
        long now = clock.monotonicMillis() / MILLIS_PER_SECOND;
        if (now != currentSecond) {
            currentSecond = now;
            servedThisSecond = 0;
        }
        servedThisSecond++;
        HttpResponse response = servedThisSecond > expertsPerSecond
                ? StandinServer.status(STATUS_TOO_MANY_REQUESTS)
                : StandinServer.json(StandinServer.STATUS_OK, new WeightsJson(EXPERT_SIZE_BYTES));
        return CompletableFuture.completedFuture(response);
    }
}

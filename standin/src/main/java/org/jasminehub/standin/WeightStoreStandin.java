package org.jasminehub.standin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.http.Address;
import org.jasminehub.platform.weights.HttpWeightStore.WeightsJson;

/** The weight store: gives a fixed number of experts a second and refuses more. Safe for use by several threads. */
public final class WeightStoreStandin implements AutoCloseable {
    private static final long EXPERT_SIZE_BYTES = 64L * 1024 * 1024;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final StandinServer server;
    private final Clock clock;
    private final int expertsPerSecond;
    private long second;
    private int givenThisSecond;

    /** Starts a store on {@code port}; port 0 takes a free one. */
    public WeightStoreStandin(ClassicActorSystemProvider system, int port, Clock clock, int expertsPerSecond) {
        this.clock = clock;
        this.expertsPerSecond = expertsPerSecond;
        this.server = StandinServer.start(system, port, this::handle);
    }

    /** Returns where it listens. */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized CompletionStage<HttpResponse> handle(HttpRequest request) {
        long now = clock.monotonicMillis() / MILLIS_PER_SECOND;
        if (now != second) {
            second = now;
            givenThisSecond = 0;
        }
        givenThisSecond++;
        HttpResponse response = givenThisSecond > expertsPerSecond
                ? StandinServer.status(STATUS_TOO_MANY_REQUESTS)
                : StandinServer.json(StandinServer.STATUS_OK, new WeightsJson(EXPERT_SIZE_BYTES));
        return CompletableFuture.completedFuture(response);
    }
}

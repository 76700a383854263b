package org.jasminehub.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.platform.http.Address;

/**
 * A booking service without idempotency keys: {@code POST /trips} adds a booking, {@code GET /trips} lists all.
 *
 * <p>Every request that reaches it is executed, so a test sees each duplicate execution. Thread-safe.
 */
public final class BookingStandin implements AutoCloseable {
    private static final int BODY_TIMEOUT_MILLIS = 1_000;
    private static final int STATUS_CREATED = 201;

    private final ClassicActorSystemProvider system;
    private final StandinServer server;
    private final List<String> bookings = new ArrayList<>();
    private CompletableFuture<Void> responseGate = CompletableFuture.completedFuture(null);

    /** Starts a service without bookings on {@code port}; port 0 selects a free one. */
    public BookingStandin(ClassicActorSystemProvider system, int port) {
        this.system = system;
        this.server = StandinServer.start(system, port, this::handle);
    }

    /** Returns the address on which the server listens. */
    public Address address() {
        return server.address();
    }

    /** Returns the request bodies of all executed bookings, in order. */
    public synchronized List<String> bookings() {
        return List.copyOf(bookings);
    }

    /** Executes bookings immediately, but delays their responses until {@link #releaseResponses} is called. */
    public synchronized void holdResponses() {
        responseGate = new CompletableFuture<>();
    }

    /** Sends the delayed responses. */
    public synchronized void releaseResponses() {
        responseGate.complete(null);
    }

    /** Closes the service without sending the delayed responses. */
    public void closeWithoutResponding() {
        server.close();
    }

    @Override
    public void close() {
        releaseResponses();
        server.close();
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        if (!request.getUri().path().equals("/trips")) {
            return CompletableFuture.completedFuture(StandinServer.status(StandinServer.STATUS_NOT_FOUND));
        }
        if (!request.method().equals(HttpMethods.POST)) {
            return CompletableFuture.completedFuture(
                    StandinServer.json(StandinServer.STATUS_OK, new TripsJson(bookings())));
        }
        return request.entity().toStrict(BODY_TIMEOUT_MILLIS, system).thenCompose(body -> {
            int execution = book(body.getData().utf8String());
            HttpResponse response = StandinServer.json(STATUS_CREATED, new TripJson(execution));
            return gate().thenApply(ignored -> response);
        });
    }

    private synchronized int book(String body) {
        bookings.add(body);
        return bookings.size();
    }

    private synchronized CompletableFuture<Void> gate() {
        return responseGate;
    }

    /** The response to a booking, with the ordinal number of its execution. */
    record TripJson(int execution) {}

    /** The response that lists all bookings. */
    record TripsJson(List<String> trips) {}
}

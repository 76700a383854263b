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
 * A plain booking service: {@code POST /trips} books and counts its real runs, {@code GET /trips} shows them.
 *
 * <p>It knows nothing of idempotency keys: what reaches it runs. Safe for use by several threads.
 */
public final class BookingStandin implements AutoCloseable {
    private static final int BODY_TIMEOUT_MILLIS = 1_000;
    private static final int STATUS_CREATED = 201;

    private final ClassicActorSystemProvider system;
    private final StandinServer server;
    private final List<String> bookings = new ArrayList<>();
    private CompletableFuture<Void> answerGate = CompletableFuture.completedFuture(null);

    /** Starts a service without bookings on {@code port}; port 0 takes a free one. */
    public BookingStandin(ClassicActorSystemProvider system, int port) {
        this.system = system;
        this.server = StandinServer.start(system, port, this::handle);
    }

    /** Returns where it listens. */
    public Address address() {
        return server.address();
    }

    /** Returns the bodies of all bookings that really ran, in order. */
    public synchronized List<String> bookings() {
        return List.copyOf(bookings);
    }

    /** Makes bookings run at once but holds their answers until {@link #releaseAnswers}. */
    public synchronized void holdAnswers() {
        answerGate = new CompletableFuture<>();
    }

    /** Sends the answers that were held. */
    public synchronized void releaseAnswers() {
        answerGate.complete(null);
    }

    /** Dies with every answer that is held. */
    public void closeWithoutAnswers() {
        server.close();
    }

    @Override
    public void close() {
        releaseAnswers();
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
        return answerGate;
    }

    /** The answer to a booking: the ordinal of its real run. */
    record TripJson(int execution) {}

    /** All bookings. */
    record TripsJson(List<String> trips) {}
}

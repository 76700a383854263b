package org.jasminehub.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.http.Address;

/** The HTTP server of a stand-in, on the loopback interface. */
final class StandinServer implements AutoCloseable {
    static final int STATUS_OK = 200;
    static final int STATUS_NOT_FOUND = 404;
    static final int STATUS_UNAVAILABLE = 503;

    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(100);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ServerBinding binding;

    private StandinServer(ServerBinding binding) {
        this.binding = binding;
    }

    /** Starts a server on {@code port}; port 0 selects a free one. */
    static StandinServer start(
            ClassicActorSystemProvider system, int port, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        ServerBinding binding = Http.get(system)
                .newServerAt(LOOPBACK, port)
                .bind(handler::apply)
                .toCompletableFuture()
                .join();
        return new StandinServer(binding);
    }

    static HttpResponse json(int status, Object body) {
        try {
            return HttpResponse.create()
                    .withStatus(status)
                    .withEntity(ContentTypes.APPLICATION_JSON, MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new PlatformException("stand-in", "cannot serialize the response body", e);
        }
    }

    static HttpResponse status(int status) {
        return HttpResponse.create().withStatus(status);
    }

    Address address() {
        return new Address(LOOPBACK, binding.localAddress().getPort());
    }

    /** Closes the listening socket and, after {@link #CLOSE_TIMEOUT}, all connections. */
    @Override
    public void close() {
        binding.terminate(CLOSE_TIMEOUT).toCompletableFuture().join();
    }
}

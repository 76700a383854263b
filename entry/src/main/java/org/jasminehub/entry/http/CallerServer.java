package org.jasminehub.entry.http;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.EntityStreamException;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.entry.filter.CallerRequest;
import org.jasminehub.entry.filter.Failures;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.entry.filter.RequestHandler;
import org.jasminehub.entry.filter.RequestMatcher;

/**
 * The HTTP server for callers and operators.
 *
 * <p>Callers: {@code POST /v1/chat/completions}, {@code /services/NAME/…}, {@code GET /v1/addresses?workspace=W}.
 * Operators: {@code GET /v1/status}. Thread-safe.
 */
public final class CallerServer implements AutoCloseable {
    private static final int BODY_TIMEOUT_MILLIS = 10_000;
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(500);

    /** Time for callers to read the responses that exist when a drain ends; they count as closed once created. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(5);

    private final ActorSystem<?> system;
    private final RequestReader reader;
    private final RequestMatcher matcher;
    private final RequestHandler chain;
    private final EventSink events;
    private final int maxBodyBytes;
    private final Map<String, Function<HttpRequest, CompletionStage<HttpResponse>>> pages = new TreeMap<>();
    private final ServerBinding binding;

    /**
     * Starts the server.
     *
     * @throws CompletionException if the port cannot be bound
     */
    CallerServer(
            ActorSystem<?> system,
            String host,
            int port,
            RequestReader reader,
            RequestMatcher matcher,
            RequestHandler chain,
            Map<String, Function<HttpRequest, CompletionStage<HttpResponse>>> pages,
            EventSink events,
            int maxBodyBytes) {
        this.system = system;
        this.reader = reader;
        this.matcher = matcher;
        this.chain = chain;
        this.events = events;
        this.maxBodyBytes = maxBodyBytes;
        this.pages.putAll(pages);
        this.binding = Http.get(system)
                .newServerAt(host, port)
                .bind(this::handle)
                .toCompletableFuture()
                .join();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return binding.localAddress().getPort();
    }

    /** Stops accepting new connections. Open connections stay open. */
    public void stopAccepting() {
        binding.unbind();
    }

    /** Closes the server once its responses are written, or after a limited time. */
    public void closeWhenWritten() {
        binding.terminate(WRITE_TIMEOUT).toCompletableFuture().join();
    }

    @Override
    public void close() {
        binding.terminate(CLOSE_TIMEOUT).toCompletableFuture().join();
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        String path = request.getUri().path();
        Function<HttpRequest, CompletionStage<HttpResponse>> page = pages.get(path);
        if (page != null) {
            request.discardEntityBytes(system);
            return recoverWithProblem(request, page.apply(request));
        }
        if (path.equals(RequestReader.CHAT_PATH)) {
            return recoverWithProblem(request, serve(request, reader::readChat));
        }
        if (path.startsWith(RequestReader.SERVICES_PREFIX)) {
            return recoverWithProblem(request, serve(request, reader::readService));
        }
        request.discardEntityBytes(system);
        return recoverWithProblem(
                request,
                CompletableFuture.failedFuture(new RequestException(
                        ErrorCode.ROUTE_UNKNOWN, Outcome.NOT_RUN, "nothing is served at " + path)));
    }

    private CompletionStage<HttpResponse> serve(HttpRequest request, BodyReader bodyReader) {
        return request.entity()
                .withSizeLimit(maxBodyBytes)
                .toStrict(BODY_TIMEOUT_MILLIS, system)
                .thenCompose(body -> {
                    CallerRequest parsed = bodyReader.read(request, body.getData());
                    RequestContext context = matcher.match(parsed);
                    return chain.handle(context);
                })
                .thenApply(Responses::of);
    }

    private CompletionStage<HttpResponse> recoverWithProblem(
            HttpRequest request, CompletionStage<HttpResponse> response) {
        return response.exceptionally(failure -> {
            RequestException problem = toRequestException(failure);
            events.emit(new RequestFailed(
                    request.method().value(),
                    request.getUri().path(),
                    String.valueOf(RequestReader.headerOf(request, RequestReader.WORKSPACE_HEADER)),
                    problem.code().code(),
                    problem.outcome().label(),
                    problem.retryAfterMillis(),
                    String.valueOf(problem.getMessage())));
            return Responses.problem(problem);
        });
    }

    private RequestException toRequestException(Throwable failure) {
        Throwable cause = Failures.causeOf(failure);
        if (cause instanceof EntityStreamSizeException) {
            return new RequestException(
                    ErrorCode.REQUEST_TOO_LARGE, Outcome.NOT_RUN, "the body is larger than " + maxBodyBytes + " bytes");
        }
        if (cause instanceof EntityStreamException) {
            return RequestReader.malformed("the body ended early");
        }
        return Failures.toRequestException(cause);
    }

    /** Parses a request after its complete body was received. */
    @FunctionalInterface
    private interface BodyReader {
        CallerRequest read(HttpRequest request, ByteString body);
    }
}

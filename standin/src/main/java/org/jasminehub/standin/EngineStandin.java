package org.jasminehub.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.http.Address;

/**
 * A model engine that runs any number of requests concurrently, sends one token per event, resumes and cancels streams,
 * and reports its load.
 *
 * <p>The text depends only on the prompt, so that every engine generates the same text and a test can check a stream that
 * was resumed on another engine. Thread-safe.
 */
public final class EngineStandin implements AutoCloseable {
    /** The request header with the index of the first event of a resumed stream. */
    public static final String RESUME_HEADER = "x-resume-from-event";

    private static final int BODY_TIMEOUT_MILLIS = 1_000;
    private static final double PREFILL_TOKENS_PER_SECOND = 20_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String[] WORDS = {
        "sun", "tide", "brand", "goat", "salt", "reel", "camel", "draft", "marsh", "pitch", "creek", "story"
    };

    private final ClassicActorSystemProvider system;
    private final StandinServer server;
    private final int capacityRequests;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private volatile int stepMillis;
    private volatile int failAfterTokens = Integer.MAX_VALUE;
    private volatile int resumeStatus = StandinServer.STATUS_OK;
    private volatile boolean sendsErrorEvent;

    /** Starts an engine on {@code port} that takes {@code stepMillis} per token; port 0 selects a free one. */
    public EngineStandin(ClassicActorSystemProvider system, int port, int stepMillis, int capacityRequests) {
        this.system = system;
        this.stepMillis = stepMillis;
        this.capacityRequests = capacityRequests;
        this.server = StandinServer.start(system, port, this::handle);
    }

    /** Returns the address on which the server listens. */
    public Address address() {
        return server.address();
    }

    /** Returns the number of requests that were started. */
    public int startedRequests() {
        return started.get();
    }

    /** Returns the number of streams that the client cancelled. */
    public int cancelledRequests() {
        return cancelled.get();
    }

    /** Sets the time per token. */
    public void setStepMillis(int millis) {
        stepMillis = millis;
    }

    /** Makes every later response fail after {@code tokens} tokens. */
    public void failAfterTokens(int tokens) {
        failAfterTokens = tokens;
    }

    /** Makes a response that fails end with an error event, as if it were complete. */
    public void sendErrorEvent() {
        sendsErrorEvent = true;
    }

    /** Answers every later request for the rest of a stream with {@code status} and the text "refused". */
    public void answerResumedRequestsWith(int status) {
        resumeStatus = status;
    }

    /** Returns the text of {@code tokens} tokens that every engine generates for {@code prompt}. */
    public static String textOf(String prompt, int tokens) {
        return IntStream.range(0, tokens).mapToObj(i -> tokenOf(prompt, i)).collect(Collectors.joining());
    }

    @Override
    public void close() {
        server.close();
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        return switch (request.getUri().path()) {
            case "/v1/load" -> CompletableFuture.completedFuture(StandinServer.json(StandinServer.STATUS_OK, load()));
            case "/v1/chat/completions" ->
                request.entity()
                        .toStrict(BODY_TIMEOUT_MILLIS, system)
                        .thenCompose(body -> handleChat(request, body.getData().toArray()));
            default -> CompletableFuture.completedFuture(StandinServer.status(StandinServer.STATUS_NOT_FOUND));
        };
    }

    private EngineLoadJson load() {
        int now = running.get();
        int queued = Math.max(0, now - capacityRequests);
        return new EngineLoadJson(
                queued, Math.min(now, capacityRequests), capacityRequests, stepMillis, PREFILL_TOKENS_PER_SECOND, 0);
    }

    private CompletionStage<HttpResponse> handleChat(HttpRequest request, byte[] body) {
        ChatRequestJson chat;
        try {
            chat = MAPPER.readValue(body, ChatRequestJson.class);
        } catch (IOException e) {
            return CompletableFuture.completedFuture(StandinServer.status(400));
        }
        started.incrementAndGet();
        String id = headerValue(request, "x-request-id", "none");
        int from = Integer.parseInt(headerValue(request, RESUME_HEADER, "0"));
        if (from > 0 && resumeStatus != StandinServer.STATUS_OK) {
            return CompletableFuture.completedFuture(
                    StandinServer.status(resumeStatus).withEntity("refused"));
        }
        if (chat.stream()) {
            return CompletableFuture.completedFuture(stream(id, chat, from));
        }
        return tokens(chat, 0)
                .runFold("", String::concat, system)
                .thenApply(text ->
                        StandinServer.json(StandinServer.STATUS_OK, CompletionJson.complete(id, chat.model(), text)));
    }

    private HttpResponse stream(String id, ChatRequestJson chat, int from) {
        int last = chat.tokens() - 1;
        Source<ByteString, NotUsed> events = tokens(chat, from)
                .zipWithIndex()
                .map(pair -> event(toJson(
                        CompletionJson.chunk(id, chat.model(), pair.first(), from + (Long) pair.second() == last))))
                .concat(Source.single(event("[DONE]")));
        if (sendsErrorEvent) {
            events = events.recover(new PFBuilder<Throwable, ByteString>()
                    .matchAny(failure -> ByteString.fromString("event: error\ndata: {\"failed\":true}\n\n"))
                    .build());
        }
        return HttpResponse.create()
                .withEntity(HttpEntities.createChunked(
                        ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), withCounters(events)));
    }

    private Source<String, NotUsed> tokens(ChatRequestJson chat, int from) {
        int tokenLimit = failAfterTokens;
        Source<String, NotUsed> all = Source.range(from, chat.tokens() - 1).map(i -> {
            if (i >= tokenLimit) {
                throw new PlatformException(
                        "engine stand-in", "response interrupted after " + tokenLimit + " tokens", null);
            }
            return tokenOf(chat.prompt(), i);
        });
        if (from >= chat.tokens()) {
            return Source.empty();
        }
        return stepMillis == 0 ? all : all.throttle(1, Duration.ofMillis(stepMillis));
    }

    private Source<ByteString, NotUsed> withCounters(Source<ByteString, NotUsed> events) {
        return events.watchTermination((unused, done) -> {
                    running.incrementAndGet();
                    done.whenComplete((Done value, Throwable failure) -> running.decrementAndGet());
                    return unused;
                })
                .via(new CancellationCounter<>(cancelled::incrementAndGet));
    }

    private static ByteString event(String data) {
        return ByteString.fromString("data: " + data + "\n\n");
    }

    private static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new PlatformException("engine stand-in", "cannot serialize an event", e);
        }
    }

    private static String tokenOf(String prompt, int index) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(prompt + "#" + index, StandardCharsets.UTF_8)
                .asInt();
        return WORDS[Math.floorMod(hash, WORDS.length)] + " ";
    }

    private static String headerValue(HttpRequest request, String name, String fallback) {
        return request.getHeader(name).map(header -> header.value()).orElse(fallback);
    }
}

package org.jasminehub.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.platform.http.Address;
import org.jasminehub.platform.log.HttpLogService.AppendJson;
import org.jasminehub.platform.log.HttpLogService.AppendedJson;
import org.jasminehub.platform.log.HttpLogService.PageJson;
import org.jasminehub.platform.log.HttpLogService.RecordJson;

/**
 * The platform's log, with reads that wait for a record, truncation, outages, and lost responses to appends.
 *
 * <p>Thread-safe.
 */
public final class LogStandin implements AutoCloseable {
    private static final int BODY_TIMEOUT_MILLIS = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ClassicActorSystemProvider system;
    private final StandinServer server;
    private final List<byte[]> records = new ArrayList<>();
    private long firstOffset;
    private boolean down;
    private int responsesToLose;
    private CompletableFuture<Void> nextAppend = new CompletableFuture<>();

    /** Starts an empty log on {@code port}; port 0 selects a free one. */
    public LogStandin(ClassicActorSystemProvider system, int port) {
        this.system = system;
        this.server = StandinServer.start(system, port, this::handle);
    }

    /** Returns the address on which the server listens. */
    public Address address() {
        return server.address();
    }

    /** Starts or ends an outage, during which every call fails and has no effect. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /** Makes the next {@code count} appends take effect but return an error. */
    public synchronized void loseResponses(int count) {
        responsesToLose = count;
    }

    /** Drops all records before {@code offset}. */
    public synchronized void truncateBefore(long offset) {
        firstOffset = Math.max(firstOffset, Math.min(offset, records.size()));
    }

    /** Returns the offset of the next append. */
    public synchronized long nextOffset() {
        return records.size();
    }

    /** Appends {@code payload} directly, without simulated faults, and returns its offset. */
    public long append(byte[] payload) {
        CompletableFuture<Void> waiting;
        long offset;
        synchronized (this) {
            offset = records.size();
            records.add(payload.clone());
            waiting = nextAppend;
            nextAppend = new CompletableFuture<>();
        }
        waiting.complete(null);
        return offset;
    }

    @Override
    public void close() {
        server.close();
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        if (isDown()) {
            return CompletableFuture.completedFuture(StandinServer.status(StandinServer.STATUS_UNAVAILABLE));
        }
        if (request.method().equals(HttpMethods.POST)) {
            return request.entity()
                    .toStrict(BODY_TIMEOUT_MILLIS, system)
                    .thenApply(body -> handleAppend(body.getData().toArray()));
        }
        long from = Long.parseLong(queryParameter(request, "from"));
        int max = Integer.parseInt(queryParameter(request, "max"));
        long waitMillis = Long.parseLong(queryParameter(request, "waitMillis"));
        return waitForRecord(from, waitMillis)
                .thenApply(ignored -> StandinServer.json(StandinServer.STATUS_OK, page(from, max)));
    }

    private HttpResponse handleAppend(byte[] body) {
        long offset;
        try {
            offset = append(MAPPER.readValue(body, AppendJson.class).payload());
        } catch (IOException e) {
            return StandinServer.status(400);
        }
        if (consumeLostResponse()) {
            return StandinServer.status(StandinServer.STATUS_UNAVAILABLE);
        }
        return StandinServer.json(StandinServer.STATUS_OK, new AppendedJson(offset));
    }

    private CompletionStage<Void> waitForRecord(long from, long waitMillis) {
        CompletableFuture<Void> append;
        synchronized (this) {
            if (from < records.size() || waitMillis == 0) {
                return CompletableFuture.completedFuture(null);
            }
            append = nextAppend;
        }
        return append.copy().completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized boolean isDown() {
        return down;
    }

    private synchronized boolean consumeLostResponse() {
        if (responsesToLose == 0) {
            return false;
        }
        responsesToLose--;
        return true;
    }

    private synchronized PageJson page(long from, int max) {
        List<RecordJson> page = new ArrayList<>();
        for (long offset = Math.max(from, firstOffset); offset < records.size() && page.size() < max; offset++) {
            page.add(new RecordJson(offset, records.get((int) offset)));
        }
        return new PageJson(firstOffset, records.size(), page);
    }

    private static String queryParameter(HttpRequest request, String name) {
        return request.getUri().query().get(name).orElse("0");
    }
}

package org.jasminehub.gateway;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** One request of a soak run, with all that its caller and the endpoints observed. Thread-safe. */
final class SoakCall {
    /** The kinds of routes that callers use. */
    enum Kind {
        SAFE,
        UNSAFE,
        STREAM
    }

    /** What an endpoint did with a request. */
    enum Action {
        /** Still being processed, or the connection was closed by the gateway. */
        UNFINISHED,
        ANSWERED,
        REFUSED,
        RESET,
        /** Answered with a failure, or with bytes that are no response. */
        FAILED
    }

    /** The arrival of the request at an endpoint. */
    static final class Arrival {
        private volatile Action action = Action.UNFINISHED;
        private volatile long endedNanos;
        private volatile long closedNanos;

        Action action() {
            return action;
        }

        /** Returns when the endpoint noticed, while it was working, that the gateway had closed the connection, else 0. */
        long closedNanos() {
            return closedNanos;
        }

        /** Returns when the endpoint finished the request; only for a finished request. */
        long endedNanos() {
            return endedNanos;
        }
    }

    private final String id;
    private final Kind kind;
    private final SoakGateway gateway;
    private final int eventCount;
    private final @Nullable SoakCall pipelinedAfter;
    private final long runStartNanos;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final Queue<String> history = new ConcurrentLinkedQueue<>();
    private volatile long lastWriteNanos;
    private volatile long sentNanos;
    private volatile boolean isSent;
    private volatile boolean isAbandoned;
    private volatile boolean isBehindAnnouncedClose;
    private volatile boolean isReset;
    private volatile long endedNanos;
    private volatile long lastReadNanos;
    private volatile @Nullable SoakResponse response;

    /**
     * Creates a request that has not been sent yet.
     *
     * @param eventCount the number of events of the whole response to a stream request
     * @param pipelinedAfter the request whose response precedes the response to this one on its connection
     */
    SoakCall(
            String id,
            Kind kind,
            SoakGateway gateway,
            int eventCount,
            @Nullable SoakCall pipelinedAfter,
            long runStartNanos) {
        this.id = id;
        this.kind = kind;
        this.gateway = gateway;
        this.eventCount = eventCount;
        this.pipelinedAfter = pipelinedAfter;
        this.runStartNanos = runStartNanos;
    }

    String id() {
        return id;
    }

    Kind kind() {
        return kind;
    }

    SoakGateway gateway() {
        return gateway;
    }

    int eventCount() {
        return eventCount;
    }

    @Nullable
    SoakCall pipelinedAfter() {
        return pipelinedAfter;
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    /** Returns whether the caller has written the whole request. */
    boolean isSent() {
        return isSent;
    }

    /** Returns when the caller began to write the last part of the request. */
    long lastWriteNanos() {
        return lastWriteNanos;
    }

    /** Returns when the caller had written the whole request. */
    long sentNanos() {
        return sentNanos;
    }

    /** Returns whether the caller disconnected without waiting for the response. */
    boolean isAbandoned() {
        return isAbandoned;
    }

    /** Returns when the caller had received the response or its connection had ended. */
    long endedNanos() {
        return endedNanos;
    }

    /** Returns how long the caller's last read waited; short if the connection had ended before. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** Returns what the caller received, null if it received nothing. */
    @Nullable
    SoakResponse response() {
        return response;
    }

    String text() {
        String method = kind == Kind.SAFE ? "GET" : "POST";
        String path = "/" + (kind == Kind.STREAM ? "stream" : kind == Kind.SAFE ? "safe" : "unsafe") + "/x";
        return GatewayHarness.request(method, path, id, SoakGateway.KEY, kind == Kind.SAFE ? "" : "{}");
    }

    void onLastWrite() {
        lastWriteNanos = System.nanoTime();
    }

    void onSent(String note) {
        sentNanos = System.nanoTime();
        isSent = true;
        note("sent to " + gateway.name() + " " + note);
    }

    /** Records that the caller had read on the same connection that its last response was the last one. */
    void onSentBehindAnnouncedClose() {
        isBehindAnnouncedClose = true;
        note("the response before it announced the close");
    }

    boolean isBehindAnnouncedClose() {
        return isBehindAnnouncedClose;
    }

    void onAbandoned() {
        isAbandoned = true;
        note("caller disconnects");
    }

    /**
     * Records the end of the response or of the connection.
     *
     * @param readNanos how long the caller's last read waited
     */
    void onResponse(SoakResponse received, long readNanos) {
        lastReadNanos = readNanos;
        endedNanos = System.nanoTime();
        response = received;
        note("caller got " + received.summary());
    }

    /** Returns whether the connection was closed regularly before any byte of the response. */
    boolean isClosedWithoutResponse() {
        SoakResponse received = response;
        return received != null && received.head().isEmpty() && received.end().equals(SoakResponse.CLOSED);
    }

    /** Records whether the closed connection was reset afterwards. */
    void onClosed(boolean hasReset) {
        isReset = hasReset;
        note(hasReset ? "connection is reset" : "connection is not reset");
    }

    /** Returns whether the connection was reset, so that the process had not read all bytes. */
    boolean isReset() {
        return isReset;
    }

    Arrival onArrival(String detail) {
        Arrival arrival = new Arrival();
        arrivals.add(arrival);
        note("arrives at an endpoint, " + detail);
        return arrival;
    }

    void onEndpointDone(Arrival arrival, Action action) {
        arrival.endedNanos = System.nanoTime();
        arrival.action = action;
        note("endpoint: " + action);
    }

    /** Records that the gateway closed the connection while the endpoint was working on the request. */
    void onClosedByGateway(Arrival arrival) {
        arrival.closedNanos = System.nanoTime();
        note("gateway ends the attempt");
    }

    /** Adds a line to the history of the request. */
    void note(String line) {
        history.add("  " + millis(System.nanoTime() - runStartNanos) + " ms " + line);
    }

    /** Returns the history of the request with the signal to its gateway and the events that the gateway logged. */
    String describe() {
        StringBuilder text = new StringBuilder(id + " (" + kind + ", " + eventCount + " events"
                + (pipelinedAfter == null ? "" : ", pipelined after " + pipelinedAfter.id()) + ", "
                + gateway.describe() + ")\n");
        if (pipelinedAfter != null) {
            text.append("  request before it:\n");
            pipelinedAfter.history.forEach(
                    line -> text.append("  ").append(line).append('\n'));
        }
        history.forEach(line -> text.append(line).append('\n'));
        text.append("  signal at ")
                .append(millis(gateway.signalNanos() - runStartNanos))
                .append(" ms, gateway ended at ")
                .append(millis(gateway.endedNanos() - runStartNanos))
                .append(" ms\n");
        gateway.callEvents(id)
                .forEach(event -> text.append("  logged ").append(event).append('\n'));
        return text.toString();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}

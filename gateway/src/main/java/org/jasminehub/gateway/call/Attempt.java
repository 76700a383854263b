package org.jasminehub.gateway.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.ScheduledFuture;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.serving.CallKind;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.WorkspaceGrant;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.ConnectionUse;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.Exchange;
import org.jasminehub.gateway.net.ExchangeFailure;
import org.jasminehub.gateway.net.ResponseSink;
import org.jasminehub.platform.hosted.AnswerHeaders;
import org.jasminehub.platform.hosted.AnswerHeadersAdapter;
import org.jasminehub.platform.hosted.CallHeadersAdapter;
import org.jspecify.annotations.Nullable;

/** One send of a call to one endpoint, and the relay of what comes back. */
final class Attempt implements ResponseSink {
    /** Part of the target latency after which a repeatable call that got nothing is tried elsewhere. */
    private static final double SILENCE_SHARE = 0.65;

    /** A stream that got nothing for this many target latencies is tried elsewhere; a full engine takes its time. */
    private static final double STREAM_SILENCE_SHARE = 2.5;

    /** A stream that stops this long goes on elsewhere, before its caller gives up after 2 s. */
    private static final long STREAM_PAUSE_MILLIS = 1_200;

    /** Several passes of a group at its slowest. */
    private static final long STALL_MILLIS = 500;

    private final RunningCall call;
    private final EndpointRecord endpoint;
    private final long startedMillis;
    private @Nullable Exchange exchange;
    private @Nullable ScheduledFuture<?> silenceTimer;
    private @Nullable AnswerRelay relay;
    private long eventMillis = -1;
    private boolean isOver;

    Attempt(RunningCall call, EndpointRecord endpoint) {
        this.call = call;
        this.endpoint = endpoint;
        this.startedMillis = call.dispatcher().clock().monotonicMillis();
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    long elapsedMillis() {
        return call.dispatcher().clock().monotonicMillis() - startedMillis;
    }

    void start() {
        call.dispatcher().onSent(endpoint.id());
        CallerRequest request = call.context().request;
        WorkspaceGrant grant = call.context().grant;
        HttpHeaders headers = CallHeadersAdapter.forEndpoint(
                request.headers(),
                Math.max(1, call.remainingMillis()),
                grant == null ? null : grant.workspace().value(),
                endpoint.id().value(),
                call.lastEventId());
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
        if (request.body().length > 0 || HttpMethod.POST.equals(request.method())) {
            HttpUtil.setContentLength(message, request.body().length);
        }
        // A call with effects takes a connection of its own, so that a kept one that just closed leaves no doubt.
        ConnectionUse use = call.route().mayRetry() ? ConnectionUse.KEPT_OR_NEW : ConnectionUse.NEW;
        exchange = call.dispatcher().client().send(address(), message, use, this);
        watchSilence();
    }

    private EndpointAddress address() {
        return new EndpointAddress(endpoint.host(), endpoint.port());
    }

    void setReading(boolean isReading) {
        if (!isReading) {
            // The pause that follows is the caller's and tells nothing of the endpoint.
            eventMillis = -1;
        }
        if (exchange != null) {
            exchange.setReading(isReading);
        }
    }

    /** Ends the attempt without a word on the endpoint: the call is over. */
    void cancel() {
        if (close()) {
            call.dispatcher().onAttemptCancelled(call.service(), endpoint.id());
        }
    }

    private boolean close() {
        if (isOver) {
            return false;
        }
        isOver = true;
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        if (exchange != null) {
            exchange.cancel();
        }
        return true;
    }

    private void watchSilence() {
        if (!call.route().mayRetry()) {
            return;
        }
        boolean isStream = call.route().kind() == CallKind.STREAMING;
        long limitMillis =
                (long) (call.route().targetLatencyMillis() * (isStream ? STREAM_SILENCE_SHARE : SILENCE_SHARE));
        watchFor(limitMillis, "no answer for " + limitMillis + " ms");
    }

    private void watchFor(long limitMillis, String reason) {
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        silenceTimer = call.dispatcher().after(limitMillis, () -> onSilence(reason));
    }

    /**
     * Engines of a group stand still together; then another one is of no help, and a repeat would only cost work. The
     * last attempt that a call may make is never given up for silence alone.
     */
    private void onSilence(String reason) {
        if (!call.mayRepeatAfterRun()) {
            return;
        }
        if (call.route().kind() == CallKind.STREAMING && call.dispatcher().isStalled(call.service(), STALL_MILLIS)) {
            watchFor(STALL_MILLIS, reason);
        } else {
            fail(AttemptEnd.MAY_HAVE_RUN, reason);
        }
    }

    /** Notes that an event of a stream has come. */
    void onProgress() {
        long nowMillis = call.dispatcher().clock().monotonicMillis();
        call.dispatcher().onProgress(call.service(), endpoint, eventMillis < 0 ? -1 : nowMillis - eventMillis);
        eventMillis = nowMillis;
        if (call.route().mayRetry()) {
            watchFor(STREAM_PAUSE_MILLIS, "the stream paused for " + STREAM_PAUSE_MILLIS + " ms");
        }
    }

    @Override
    public void onHead(HttpResponseStatus status, HttpHeaders headers) {
        AnswerHeaders read = AnswerHeadersAdapter.decode(status, headers);
        if (read.keepAliveMillis() != null) {
            call.dispatcher().client().setIdleLimit(address(), read.keepAliveMillis());
        }
        String requestId = call.context().requestId();
        boolean isOthers = read.requestId() != null && !read.requestId().equals(requestId);
        boolean isSuccess = status.codeClass() == HttpStatusClass.SUCCESS;
        if (isOthers || (isSuccess && !read.isSigned()) || headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
            fail(AttemptEnd.MAY_HAVE_RUN, isOthers ? "an answer to another request" : "no valid answer");
            return;
        }
        boolean isStream = isSuccess && call.route().kind() == CallKind.STREAMING;
        if (call.isHeadSent() && !isStream) {
            fail(read.isNotRun() ? AttemptEnd.NOT_RUN : AttemptEnd.MAY_HAVE_RUN, "status " + status.code());
            return;
        }
        relay = isStream ? new StreamRelay(call, this) : new WholeRelay(call, this);
        relay.begin(status, headers, read);
    }

    @Override
    public void onBody(byte[] part) {
        if (relay != null && !isOver) {
            relay.part(part);
        }
    }

    @Override
    public void onEnd() {
        if (relay != null && !isOver) {
            relay.end();
        }
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        AttemptEnd end = failure == ExchangeFailure.NOT_CONNECTED ? AttemptEnd.NOT_RUN : AttemptEnd.MAY_HAVE_RUN;
        fail(end, failure.name());
    }

    /** The answer was delivered. */
    void succeed(int status) {
        if (close()) {
            call.dispatcher().onAttemptServed(call.service(), endpoint.id());
            call.onServed(status);
        }
    }

    /** The attempt failed; a failure of this system's own follows if the call is not repeated. */
    void fail(AttemptEnd end, String reason) {
        fail(end, reason, () -> call.giveUp(end, endpoint.id().value() + ": " + reason));
    }

    /** The attempt failed; {@code deliverFailure} answers if the call is not repeated. */
    void fail(AttemptEnd end, String reason, Runnable deliverFailure) {
        if (close()) {
            call.dispatcher().onAttemptFailed(endpoint, end);
            call.onAttemptFailed(this, end, reason, deliverFailure);
        }
    }
}

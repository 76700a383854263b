package org.jasminehub.gateway.call;

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
import org.jasminehub.core.balance.ResponsePolicy;
import org.jasminehub.core.balance.ResponsePolicy.Decision;
import org.jasminehub.core.balance.SilentStreamPolicy;
import org.jasminehub.core.serving.CallKind;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.WorkspaceGrant;
import org.jasminehub.core.stream.EventId;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.ConnectionUse;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.Exchange;
import org.jasminehub.gateway.net.ExchangeFailure;
import org.jasminehub.gateway.net.ResponseSink;
import org.jasminehub.platform.hosted.CallHeadersAdapter;
import org.jasminehub.platform.hosted.ResponseHeaders;
import org.jasminehub.platform.hosted.ResponseHeadersAdapter;
import org.jspecify.annotations.Nullable;

/** One attempt to send a call to an endpoint, including the relay of the response. */
final class Attempt implements ResponseSink {
    /** Share of the target latency after which a retryable call without a response is sent to another endpoint. */
    private static final double RESPONSE_TIMEOUT_FACTOR = 0.65;

    /** The engine has completed a pass with the call when the second event arrives. */
    private static final int EVENTS_OF_SOUND_PROMPT = 2;

    private final RunningCall call;
    private final EndpointRecord endpoint;
    private final long startedMillis;
    private @Nullable Exchange exchange;
    private @Nullable ScheduledFuture<?> timeoutTimer;
    private @Nullable ResponseRelay relay;
    private long lastEventMillis = -1;
    private int events;
    private boolean isEnded;

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
        call.dispatcher().onSent(call, endpoint);
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
                request.body().toBuffer(),
                headers,
                EmptyHttpHeaders.INSTANCE);
        if (request.body().length() > 0 || HttpMethod.POST.equals(request.method())) {
            HttpUtil.setContentLength(message, request.body().length());
        }
        exchange = call.dispatcher().send(endpoint, message, call.context().requestId(), connectionUse(), this);
        startTimeout();
    }

    /**
     * Selects the connection. An unsafe call uses a new one: if a pooled one had just been closed, it would be unknown
     * whether the call ran. A retry does so because the response to an earlier attempt, which has the same id, could
     * arrive once more on a pooled one. On a pooled one, no response to a call without an id could be recognized.
     */
    private ConnectionUse connectionUse() {
        boolean isFirstAttempt = call.attempts().sends() == 1;
        return call.route().mayRetry()
                        && isFirstAttempt
                        && !call.context().requestId().isEmpty()
                ? ConnectionUse.KEPT_OR_NEW
                : ConnectionUse.NEW;
    }

    private EndpointAddress address() {
        return new EndpointAddress(endpoint.host(), endpoint.port());
    }

    void setReading(boolean isReading) {
        if (!isReading) {
            // The gap that follows is caused by the caller and must not count as the endpoint's.
            lastEventMillis = -1;
        }
        if (exchange != null) {
            exchange.setReading(isReading);
        }
    }

    boolean isEnded() {
        return isEnded;
    }

    /**
     * Ends the attempt because the call has ended or its other attempt has continued it after a silence; records
     * neither success nor failure of the endpoint.
     */
    void cancel() {
        if (close()) {
            call.dispatcher().onAttemptCancelled(call.service(), endpoint.id());
        }
    }

    /** Ends the attempt because another endpoint has continued the stream; counts as a failure of this endpoint. */
    void endAsSilent() {
        if (close()) {
            call.dispatcher().onAttemptFailed(endpoint, AttemptEnd.MAY_HAVE_RUN);
            report(AttemptEnd.MAY_HAVE_RUN, "no stream event until another endpoint sent the next one", true);
        }
    }

    /** Logs that the attempt failed. */
    void report(AttemptEnd end, String reason, boolean isRetried) {
        EventId lastEventId = call.lastEventId();
        call.dispatcher()
                .events()
                .emit(new AttemptFailed(
                        call.context().loggedRequestId(),
                        endpoint.id().value(),
                        end,
                        reason,
                        call.dispatcher().openCallsAt(endpoint.id()),
                        lastEventId == null ? "" : lastEventId.text(),
                        elapsedMillis(),
                        isRetried,
                        call.identity().sharedParts()));
    }

    private boolean close() {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        call.dispatcher().onAttemptEnded(endpoint, startedMillis);
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
        if (exchange != null) {
            exchange.cancel();
        }
        return true;
    }

    private void startTimeout() {
        if (!call.route().mayRetry()) {
            return;
        }
        if (call.route().kind() == CallKind.STREAMING) {
            scheduleSilenceCheck(SilentStreamPolicy.firstEventTimeoutMillis(call.route()));
            return;
        }
        long limitMillis = (long) (call.route().targetLatencyMillis() * RESPONSE_TIMEOUT_FACTOR);
        timeoutTimer = call.dispatcher().after(limitMillis, () -> onTimeout("no answer for " + limitMillis + " ms"));
    }

    /** Ends the attempt, unless it is the last one that the call may make. */
    private void onTimeout(String reason) {
        if (call.attempts().mayRetryAfterRun()) {
            fail(AttemptEnd.MAY_HAVE_RUN, reason);
        }
    }

    /** Checks after {@code delayMillis} without an event, and repeatedly from then on, whether to try another endpoint. */
    private void scheduleSilenceCheck(long delayMillis) {
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
        timeoutTimer = call.dispatcher().after(delayMillis, () -> {
            if (!isEnded) {
                scheduleSilenceCheck(SilentStreamPolicy.CHECK_INTERVAL_MILLIS);
                call.attempts().onSilent(this);
            }
        });
    }

    /** Called when {@code relayedEvents} stream events, which arrived together, have been relayed. */
    void onProgress(int relayedEvents) {
        long nowMillis = call.dispatcher().clock().monotonicMillis();
        call.dispatcher().onProgress(call.service(), endpoint, lastEventMillis < 0 ? -1 : nowMillis - lastEventMillis);
        lastEventMillis = nowMillis;
        call.onOutput();
        boolean wasSound = events >= EVENTS_OF_SOUND_PROMPT;
        events += relayedEvents;
        if (!wasSound && events >= EVENTS_OF_SOUND_PROMPT) {
            call.identity().onOutput();
        }
        if (call.route().mayRetry()) {
            scheduleSilenceCheck(SilentStreamPolicy.EVENT_TIMEOUT_MILLIS);
        }
    }

    @Override
    public void onHead(HttpResponseStatus status, HttpHeaders headers) {
        ResponseHeaders parsedHeaders = ResponseHeadersAdapter.decode(status, headers);
        if (parsedHeaders.keepAliveMillis() != null) {
            call.dispatcher().client().setIdleLimit(address(), parsedHeaders.keepAliveMillis());
        }
        boolean isForOtherRequest = !belongsToCall(parsedHeaders.requestId());
        Decision decision = ResponsePolicy.decide(status.code(), parsedHeaders.isSigned(), parsedHeaders.isNotRun());
        if (isForOtherRequest || decision == Decision.INVALID || headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
            fail(AttemptEnd.MAY_HAVE_RUN, isForOtherRequest ? "an answer to another request" : "no valid answer");
            return;
        }
        boolean isStream =
                status.codeClass() == HttpStatusClass.SUCCESS && call.route().kind() == CallKind.STREAMING;
        if (!isStream && (call.isHeadSent() || call.attempts().isCandidate(this))) {
            fail(parsedHeaders.isNotRun() ? AttemptEnd.NOT_RUN : AttemptEnd.MAY_HAVE_RUN, "status " + status.code());
            return;
        }
        relay = isStream ? new StreamRelay(call, this) : relayFor(decision);
        relay.begin(status, headers);
    }

    private ResponseRelay relayFor(Decision decision) {
        return decision == Decision.RELAY || decision == Decision.RETRY_OR_RELAY
                ? new BufferedRelay(call, this)
                : new WithheldRelay(this, decision);
    }

    /**
     * Returns whether a response with the request id {@code stated} is certainly the one to this attempt. A faulty endpoint
     * may write the response to an earlier request once more, also without its id.
     */
    private boolean belongsToCall(@Nullable String stated) {
        return stated == null
                ? exchange != null && exchange.isFirstOnConnection()
                : stated.equals(call.context().requestId());
    }

    @Override
    public void onBody(byte[] part) {
        if (relay != null && !isEnded) {
            relay.part(part);
        }
    }

    @Override
    public void onEnd() {
        if (relay != null && !isEnded) {
            relay.end();
        }
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        if (failure == ExchangeFailure.WITHHELD) {
            if (close()) {
                call.dispatcher().onAttemptWithheld(endpoint.id());
                call.attempts().onWithheld(this);
            }
            return;
        }
        AttemptEnd end = failure == ExchangeFailure.NOT_CONNECTED ? AttemptEnd.NOT_RUN : AttemptEnd.MAY_HAVE_RUN;
        if (failure == ExchangeFailure.CUT) {
            failCut(failure.name());
        } else {
            fail(end, failure.name());
        }
    }

    /**
     * Called when the connection was closed before the response was complete. If the call had no output yet, it may
     * have crashed the endpoint, which must be known before the call is retried.
     */
    void failCut(String reason) {
        if (call.hasOutput()) {
            fail(AttemptEnd.MAY_HAVE_RUN, reason);
        } else if (close()) {
            call.dispatcher().onAttemptFailed(endpoint, AttemptEnd.MAY_HAVE_RUN);
            call.attempts().onInspection(this);
            call.dispatcher()
                    .quarantine()
                    .inspect(
                            endpoint,
                            call.identity().asCrashSuspect(elapsedMillis()),
                            () -> onFailed(AttemptEnd.MAY_HAVE_RUN, reason, () -> deliverFailure(reason)));
        }
    }

    private void deliverFailure(String reason) {
        call.respondWithFailure(AttemptEnd.MAY_HAVE_RUN, endpoint.id().value() + ": " + reason);
    }

    /** Called when the response has been delivered. */
    void succeed(int status) {
        if (close()) {
            if (HttpStatusClass.SUCCESS.contains(status)) {
                call.identity().onOutput();
            }
            call.identity().onCompleted(status);
            call.dispatcher().onAttemptServed(call.service(), endpoint.id());
            call.attempts().onDelivery(this);
            call.onServed(status);
        }
    }

    /**
     * Called when the attempt failed; unless the call is retried, the caller gets a response that this instance
     * creates.
     */
    void fail(AttemptEnd end, String reason) {
        fail(end, reason, () -> call.respondWithFailure(end, endpoint.id().value() + ": " + reason));
    }

    /** Called when the attempt failed; {@code deliverFailure} responds to the caller unless the call is retried. */
    void fail(AttemptEnd end, String reason, Runnable deliverFailure) {
        if (close()) {
            call.dispatcher().onAttemptFailed(endpoint, end);
            onFailed(end, reason, deliverFailure);
        }
    }

    private void onFailed(AttemptEnd end, String reason, Runnable deliverFailure) {
        if (!call.isDone()) {
            call.attempts().onFailed(this, end, reason, deliverFailure);
        }
    }
}

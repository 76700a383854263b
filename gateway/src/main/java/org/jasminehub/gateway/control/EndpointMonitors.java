package org.jasminehub.gateway.control;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.jasminehub.core.balance.QuietPeriods;
import org.jasminehub.core.balance.QuietRequest;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.ratelimit.StatedRateLimit;
import org.jasminehub.core.serving.ColdTime;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.ExchangeMonitor;
import org.jasminehub.platform.hosted.ResponseHeaders;
import org.jasminehub.platform.hosted.ResponseHeadersAdapter;

/**
 * Creates the monitors of exchanges with endpoints, which apply what endpoints announce about themselves in responses.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class EndpointMonitors {
    private final EndpointController endpoints;
    private final QuietPeriods quiet;
    private final RateLimitObserver rateLimits;
    private final EvacuationController evacuations;
    private final Clock clock;
    private final EventSink events;
    private BiConsumer<EndpointIncarnation, ColdTime> onColdTime = (endpoint, time) -> {};
    private long withheld;

    /** Creates monitors that report to {@code endpoints}, {@code quiet}, {@code rateLimits} and {@code evacuations}. */
    public EndpointMonitors(
            EndpointController endpoints,
            QuietPeriods quiet,
            RateLimitObserver rateLimits,
            EvacuationController evacuations,
            Clock clock,
            EventSink events) {
        this.endpoints = endpoints;
        this.quiet = quiet;
        this.rateLimits = rateLimits;
        this.evacuations = evacuations;
        this.clock = clock;
        this.events = events;
    }

    /** Passes the cold times that responses state to {@code observer}. */
    public void observeColdTimes(BiConsumer<EndpointIncarnation, ColdTime> observer) {
        onColdTime = observer;
    }

    /** Returns the endpoints that asked to be sent nothing for some time. */
    public QuietPeriods quietPeriods() {
        return quiet;
    }

    /** Returns how many requests were held back because their endpoint had become unavailable after the choice. */
    public long withheld() {
        return withheld;
    }

    /**
     * Returns the monitor of a caller's request that is sent to {@code endpoint} now.
     *
     * @param requestId the id of the request, empty if it has none
     */
    public ExchangeMonitor forCall(EndpointRecord endpoint, String requestId) {
        long sentMillis = clock.monotonicMillis();
        return new ExchangeMonitor() {
            @Override
            public boolean maySend() {
                if (endpoints.accepts(endpoint) && !quiet.isQuiet(endpoint.incarnation())) {
                    evacuations.onWrite(endpoint.domain());
                    return true;
                }
                evacuations.onWithheld(endpoint.domain());
                return withhold();
            }

            @Override
            public void onHead(HttpResponseStatus status, HttpHeaders headers) {
                observe(endpoint.incarnation(), sentMillis, requestId, status, headers);
            }
        };
    }

    /**
     * Returns the monitor of a request to the engine at {@code endpoint} that this instance itself makes. An engine that
     * is leaving still takes part in its group, so such requests go on. One that asked for quiet is sent none.
     */
    public ExchangeMonitor forEngine(EndpointRecord endpoint) {
        return new ExchangeMonitor() {
            @Override
            public boolean maySend() {
                return !quiet.isQuiet(endpoint.incarnation()) || withhold();
            }

            @Override
            public void onHead(HttpResponseStatus status, HttpHeaders headers) {
                // The monitor is used for many requests, so it is not known when the one of this response was sent.
                observe(endpoint.incarnation(), Long.MIN_VALUE, "", status, headers);
            }
        };
    }

    private boolean withhold() {
        withheld++;
        return false;
    }

    private void observe(
            EndpointIncarnation expected,
            long sentMillis,
            String requestId,
            HttpResponseStatus status,
            HttpHeaders headers) {
        if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        ResponseHeaders parsed = ResponseHeadersAdapter.decode(status, headers);
        // A response to an earlier request may arrive once more, so only the id proves when its request was sent.
        long provenSentMillis =
                !requestId.isEmpty() && requestId.equals(parsed.requestId()) ? sentMillis : Long.MIN_VALUE;
        respondent(expected, status, parsed).ifPresent(endpoint -> onRateLimit(endpoint, provenSentMillis, parsed));
        ColdTime coldTime = parsed.coldTime();
        if (coldTime.kind() != ColdTime.Kind.NOT_STATED) {
            respondent(expected, status, parsed).ifPresent(endpoint -> onColdTime.accept(endpoint, coldTime));
        }
        QuietRequest request = parsed.quietRequest();
        if (request != null) {
            respondent(expected, status, parsed).ifPresent(endpoint -> onQuietRequested(endpoint, request));
        }
        if (parsed.isLeaving()) {
            respondent(expected, status, parsed)
                    .ifPresent(endpoint ->
                            endpoints.onLeavingAnnounced(endpoint, "a response with status " + status.code()));
        }
    }

    private void onRateLimit(EndpointIncarnation endpoint, long sentMillis, ResponseHeaders parsed) {
        StatedRateLimit limit = parsed.rateLimit();
        if (limit != null) {
            rateLimits.onStated(endpoint, limit);
        } else if (parsed.malformedRateLimit() != null) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED,
                    endpoint.id().value(),
                    "a response states the malformed rate limit " + parsed.malformedRateLimit(),
                    0));
        } else {
            rateLimits.onNoneStated(endpoint, sentMillis);
        }
    }

    private void onQuietRequested(EndpointIncarnation endpoint, QuietRequest request) {
        if (quiet.onRequested(endpoint, request.periodMillis())) {
            events.emit(new ControlEvent(
                    ControlEventKind.ENDPOINT_QUIET,
                    endpoint.id().value(),
                    "refused a request; nothing is sent for " + request.periodMillis() + " ms"
                            + (request.isAdjusted() ? ", since the stated time is malformed or too long" : ""),
                    0));
        }
    }

    /** Returns the endpoint that responded; another one may have been assigned the address of the expected one. */
    private Optional<EndpointIncarnation> respondent(
            EndpointIncarnation expected, HttpResponseStatus status, ResponseHeaders parsed) {
        String stated = parsed.endpoint();
        if (stated == null || stated.isBlank()) {
            return status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()
                    ? Optional.empty()
                    : Optional.of(expected);
        }
        return stated.equals(expected.id().value())
                ? Optional.of(expected)
                : endpoints.find(new EndpointId(stated)).map(EndpointRecord::incarnation);
    }
}

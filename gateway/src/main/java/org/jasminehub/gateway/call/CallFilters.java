package org.jasminehub.gateway.call;

import java.util.List;
import java.util.Optional;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.CallHeaders;
import org.jasminehub.platform.hosted.CallHeadersAdapter;
import org.jasminehub.platform.hosted.RecordRejectedException;

/** The filters that are applied to every call, in order. */
final class CallFilters {
    private static final int UNAUTHORIZED = 401;

    /** Long enough for a process that has just started to read its configuration. */
    private static final long NOT_READY_RETRY_MILLIS = 400;

    private final Clock clock;
    private final ConfigurationView configuration;
    private final CallSettings settings;
    private final CallAdmission admission;

    CallFilters(Clock clock, ConfigurationView configuration, CallSettings settings, CallAdmission admission) {
        this.clock = clock;
        this.configuration = configuration;
        this.settings = settings;
        this.admission = admission;
    }

    List<CallFilter> chain() {
        return List.of(
                this::readHeaders,
                this::loadConfiguration,
                this::matchRoute,
                this::checkKey,
                this::setDeadline,
                this::admit);
    }

    private Optional<Refusal> readHeaders(CallContext context) {
        try {
            context.headers = CallHeadersAdapter.decode(context.request.headers());
            return Optional.empty();
        } catch (RecordRejectedException e) {
            return Optional.of(Refusal.of(ErrorCode.REQUEST_MALFORMED, String.valueOf(e.getMessage())));
        }
    }

    private Optional<Refusal> loadConfiguration(CallContext context) {
        context.tableAgeMillis = configuration.ageMillis();
        context.table = configuration.inForce().orElse(null);
        return context.table == null
                ? Optional.of(Refusal.retryable(
                        ErrorCode.NOT_READY, NOT_READY_RETRY_MILLIS, "no configuration is known here yet"))
                : Optional.empty();
    }

    private Optional<Refusal> matchRoute(CallContext context) {
        RouteTable table = context.table;
        if (table == null) {
            return Optional.of(Refusal.of(ErrorCode.INTERNAL, "no configuration was taken"));
        }
        context.route =
                table.match(context.request.host(), context.request.path()).orElse(null);
        if (context.route != null) {
            return Optional.empty();
        }
        return Optional.of(
                isConfigurationFresh(context)
                        ? Refusal.of(ErrorCode.ROUTE_UNKNOWN, "no route for this host and path")
                        : staleConfiguration(context));
    }

    private Optional<Refusal> checkKey(CallContext context) {
        Route route = context.route;
        RouteTable table = context.table;
        CallHeaders headers = context.headers;
        if (route == null || table == null || headers == null || route.isPublic() || !table.needsKeys()) {
            return Optional.empty();
        }
        if (!isConfigurationFresh(context)) {
            return Optional.of(staleConfiguration(context));
        }
        context.grant =
                headers.key() == null ? null : table.grant(headers.key()).orElse(null);
        return context.grant == null
                ? Optional.of(Refusal.of(ErrorCode.WORKSPACE_UNKNOWN, UNAUTHORIZED, "no workspace holds the key sent"))
                : Optional.empty();
    }

    private Optional<Refusal> setDeadline(CallContext context) {
        Route route = context.route;
        CallHeaders headers = context.headers;
        if (route == null || headers == null) {
            return Optional.of(Refusal.of(ErrorCode.INTERNAL, "no route was matched"));
        }
        long callerMillis = headers.remainingMillis() == null ? route.timeoutMillis() : headers.remainingMillis();
        context.deadlineMillis = context.arrivedMillis + Math.min(callerMillis, route.timeoutMillis());
        return context.deadlineMillis <= clock.monotonicMillis()
                ? Optional.of(Refusal.of(ErrorCode.DEADLINE_EXCEEDED, "the call came with no time left"))
                : Optional.empty();
    }

    private Optional<Refusal> admit(CallContext context) {
        return admission.accepts(context.deadlineMillis - clock.monotonicMillis())
                ? Optional.empty()
                : Optional.of(Refusal.leaving("this instance may stop before the call ends"));
    }

    /**
     * Returns whether keys and routes may be checked against the configuration; an outdated one may hold revoked keys.
     */
    private boolean isConfigurationFresh(CallContext context) {
        return context.tableAgeMillis < settings.maxConfigurationAgeMillis();
    }

    private static Refusal staleConfiguration(CallContext context) {
        return Refusal.retryable(
                ErrorCode.NOT_READY,
                NOT_READY_RETRY_MILLIS,
                "the configuration known here is " + context.tableAgeMillis + " ms old");
    }
}

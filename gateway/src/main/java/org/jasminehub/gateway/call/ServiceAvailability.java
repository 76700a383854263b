package org.jasminehub.gateway.call;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.QuietPeriods;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.evacuation.Evacuations;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.gateway.cold.ColdEndpointController;
import org.jasminehub.gateway.control.EndpointController;

/** Tells why calls to a service must be refused at once. Must be used on the process's event loop only. */
final class ServiceAvailability {
    /** Retry delay for a service without endpoints; registrations are read again within this time. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;

    private final EndpointController endpoints;
    private final QuietPeriods quiet;
    private final ColdEndpointController cold;
    private final RandomGenerator random;
    private final ToLongFunction<String> queueRetryMillis;

    /** Creates a view; {@code queueRetryMillis} returns the retry delay that follows from the queue of a service. */
    ServiceAvailability(
            EndpointController endpoints,
            QuietPeriods quiet,
            ColdEndpointController cold,
            RandomGenerator random,
            ToLongFunction<String> queueRetryMillis) {
        this.endpoints = endpoints;
        this.quiet = quiet;
        this.cold = cold;
        this.random = random;
        this.queueRetryMillis = queueRetryMillis;
    }

    /** Returns the refusal of calls to {@code service} if none of its endpoints accepts calls, else empty. */
    Optional<Refusal> refusal(String service) {
        List<EndpointRecord> serving = endpoints.serving(service);
        if (!serving.isEmpty()) {
            return onlyQuiet(service, serving).or(() -> onlyCold(service, serving));
        }
        if (endpoints.isEvacuated(service)) {
            return Optional.of(Refusal.retryable(
                    ErrorCode.DOMAIN_EVACUATED,
                    Evacuations.retryAfterMillis(random.nextDouble()),
                    "the failure domains of all endpoints of " + service + " are evacuated"));
        }
        return Optional.of(
                hasEndpoints(service)
                        ? Refusal.retryable(
                                ErrorCode.NO_ENDPOINT,
                                queueRetryMillis.applyAsLong(service),
                                "all endpoints of " + service + " are leaving")
                        : Refusal.retryable(
                                ErrorCode.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS, "no endpoint of " + service));
    }

    /** Returns the refusal of calls if all of {@code serving} asked to be sent nothing, else empty. */
    private Optional<Refusal> onlyQuiet(String service, List<EndpointRecord> serving) {
        OptionalLong retryAfterMillis = quiet.retryAfterMillis(serving, random.nextDouble());
        return retryAfterMillis.isEmpty()
                ? Optional.empty()
                : Optional.of(Refusal.retryable(
                        ErrorCode.ENDPOINTS_QUIET,
                        retryAfterMillis.getAsLong(),
                        "all endpoints of " + service + " refuse requests for now"));
    }

    /** Returns the refusal of calls if all of {@code serving} are cold and none may be sent to, else empty. */
    private Optional<Refusal> onlyCold(String service, List<EndpointRecord> serving) {
        OptionalLong retryAfterMillis = cold.retryAfterMillis(service, serving, random::nextDouble);
        return retryAfterMillis.isEmpty()
                ? Optional.empty()
                : Optional.of(Refusal.retryable(
                        ErrorCode.ENDPOINTS_COLD,
                        retryAfterMillis.getAsLong(),
                        "all endpoints of " + service + " are cold and get no more requests for now"));
    }

    /** Returns whether any endpoint of {@code service} is registered, also one that accepts no calls. */
    boolean hasEndpoints(String service) {
        return !endpoints.serving(service).isEmpty()
                || endpoints.all().stream()
                        .anyMatch(endpoint -> endpoint.service().equals(service));
    }
}

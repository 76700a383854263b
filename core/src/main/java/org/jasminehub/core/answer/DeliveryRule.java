package org.jasminehub.core.answer;

import org.jasminehub.core.document.RouteKind;

/**
 * How responses of a kind of route may be delivered.
 *
 * @param isRelayedAtOnce whether chunks are relayed to the caller as they arrive, instead of held back until the end
 * @param mayResume whether another attempt may continue an interrupted response after the relayed events
 * @param mayRestart whether another attempt may be made if nothing of an interrupted response was relayed
 * @param mayShare whether one response may serve several requests, from a cache or by merging the requests
 * @param mayHedge whether the request may be sent to a second endpoint while the first has not responded
 * @param needsConfirmedEndpoint whether only endpoints that pass {@link FreshReadPolicy} may be used
 */
public record DeliveryRule(
        boolean isRelayedAtOnce,
        boolean mayResume,
        boolean mayRestart,
        boolean mayShare,
        boolean mayHedge,
        boolean needsConfirmedEndpoint) {
    private static final DeliveryRule STREAM = new DeliveryRule(true, true, true, true, true, false);
    private static final DeliveryRule WHOLE = new DeliveryRule(false, false, true, true, true, false);
    private static final DeliveryRule NON_IDEMPOTENT = new DeliveryRule(false, false, false, false, false, false);
    private static final DeliveryRule FRESH_READ = new DeliveryRule(false, false, true, false, false, true);

    /** Returns the rule for routes of {@code kind}. */
    public static DeliveryRule of(RouteKind kind) {
        return switch (kind) {
            case STREAM -> STREAM;
            case WHOLE -> WHOLE;
            case NON_IDEMPOTENT -> NON_IDEMPOTENT;
            case FRESH_READ -> FRESH_READ;
        };
    }
}

package org.jasminehub.core.answer;

import org.jasminehub.core.document.RouteKind;

/**
 * What may be done with the answers of a kind of route.
 *
 * @param isRelayedAtOnce whether parts go to the caller as they come; otherwise they are held back until the end
 * @param mayResume whether a cut answer goes on elsewhere from the events that were relayed
 * @param mayRestart whether a cut answer of which nothing was relayed is asked for again
 * @param mayShare whether one answer may serve several requests, from a cache or by merging them
 * @param mayHedge whether a second endpoint may be asked while the first has not answered
 * @param needsCertainEndpoint whether endpoints in doubt are left out
 */
public record DeliveryRule(
        boolean isRelayedAtOnce,
        boolean mayResume,
        boolean mayRestart,
        boolean mayShare,
        boolean mayHedge,
        boolean needsCertainEndpoint) {
    private static final DeliveryRule STREAM = new DeliveryRule(true, true, true, true, true, false);
    private static final DeliveryRule WHOLE = new DeliveryRule(false, false, true, true, true, false);
    private static final DeliveryRule NON_IDEMPOTENT = new DeliveryRule(false, false, false, false, false, false);
    private static final DeliveryRule FRESH_READ = new DeliveryRule(false, false, true, false, false, true);

    /** Returns the rule of {@code kind}. */
    public static DeliveryRule of(RouteKind kind) {
        return switch (kind) {
            case STREAM -> STREAM;
            case WHOLE -> WHOLE;
            case NON_IDEMPOTENT -> NON_IDEMPOTENT;
            case FRESH_READ -> FRESH_READ;
        };
    }
}

package org.jasminehub.core.ratelimit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.time.Clock;

/**
 * Issues the permits for the endpoints that this instance is responsible for, in the order of the requests.
 *
 * <p>Load pattern: endpoints limit their requests when they are in need, and all instances have calls for them at that
 * time. Equal shares for all instances do not work: with hundreds of instances, a share is less than one request in
 * minutes, and the first request of each instance already exceeds the limit. Therefore one instance issues all permits
 * for an endpoint, to those that ask.
 *
 * <p>While instances disagree, an endpoint may have several issuers. An issuer that hears from half of the instances or
 * fewer issues only their share of the limit, so after a split the sum is at most one and a half times the limit. A new
 * issuer starts without permits, as its predecessor may have issued some just before.
 *
 * <p>Not thread-safe.
 */
final class PermitIssuer {
    /** Rate for lower limits, also for a limit of 0: only a response shows that a limit has ended. */
    static final double MIN_PERMITS_PER_SECOND = 0.2;

    /** A request that is not repeated for this long is dropped; instances repeat requests that they still need. */
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

    /** Permits are used or returned within this time. */
    private static final long RETURN_TIMEOUT_MILLIS = 3_000;

    private static final double MAJORITY = 0.5;

    /** The state of one endpoint while this instance is its issuer. */
    private static final class Term {
        private final PermitBucket bucket;
        private final Map<String, Long> requestedMillis = new LinkedHashMap<>();
        private final Map<String, Long> issuedMillis = new HashMap<>();

        Term(long nowMillis) {
            this.bucket = new PermitBucket(nowMillis);
        }

        int position(String instance) {
            int position = 0;
            for (String waiting : requestedMillis.keySet()) {
                if (waiting.equals(instance)) {
                    return position;
                }
                position++;
            }
            return position;
        }
    }

    private final Clock clock;
    private final EndpointRateLimits limits;
    private final IssuerView view;
    private final String self;
    private final PermitSender sender;
    private final Map<EndpointIncarnation, Term> terms = new HashMap<>();
    private long issued;

    PermitIssuer(Clock clock, String self, EndpointRateLimits limits, IssuerView view, PermitSender sender) {
        this.clock = clock;
        this.self = self;
        this.limits = limits;
        this.view = view;
        this.sender = sender;
    }

    /** Returns the number of permits issued so far. */
    long issued() {
        return issued;
    }

    /** Issues a permit to {@code instance} now or as soon as one is available; ignored if another instance issues them. */
    void onRequest(String instance, EndpointIncarnation endpoint) {
        if (!isIssuer(endpoint)) {
            return;
        }
        OptionalDouble limit = limits.requestsPerSecond(endpoint);
        if (limit.isEmpty()) {
            // The limit has ended, which the response to this request will show to the instance too.
            sender.send(instance, new RatePermitMessage.Permit(endpoint));
            return;
        }
        Term term = terms.computeIfAbsent(endpoint, each -> new Term(clock.monotonicMillis()));
        term.requestedMillis.put(instance, clock.monotonicMillis());
        issueAvailable(endpoint, term);
        if (term.requestedMillis.containsKey(instance)) {
            long waitMillis = term.bucket.waitMillis(term.position(instance));
            sender.send(instance, new RatePermitMessage.Queued(endpoint, waitMillis));
        }
    }

    /** Makes a permit available again that {@code instance} did not use. */
    void onReturn(String instance, EndpointIncarnation endpoint) {
        Term term = terms.get(endpoint);
        Long issuedMillis = term == null ? null : term.issuedMillis.remove(instance);
        if (term != null && issuedMillis != null && clock.monotonicMillis() - issuedMillis <= RETURN_TIMEOUT_MILLIS) {
            term.bucket.giveBack();
            issueAvailable(endpoint, term);
        }
    }

    /** Issues the permits that have become available. */
    void onTick() {
        terms.keySet().removeIf(endpoint -> limits.requestsPerSecond(endpoint).isEmpty() || !isIssuer(endpoint));
        for (EndpointIncarnation endpoint : limits.limited()) {
            if (isIssuer(endpoint)) {
                issueAvailable(endpoint, terms.computeIfAbsent(endpoint, each -> new Term(clock.monotonicMillis())));
            }
        }
    }

    private void issueAvailable(EndpointIncarnation endpoint, Term term) {
        long nowMillis = clock.monotonicMillis();
        term.bucket.refill(permitsPerSecond(endpoint), nowMillis);
        term.requestedMillis.values().removeIf(requested -> nowMillis - requested > REQUEST_TIMEOUT_MILLIS);
        Iterator<String> waiting = term.requestedMillis.keySet().iterator();
        while (waiting.hasNext() && term.bucket.tryTake()) {
            String instance = waiting.next();
            waiting.remove();
            term.issuedMillis.put(instance, nowMillis);
            issued++;
            sender.send(instance, new RatePermitMessage.Permit(endpoint));
        }
    }

    private double permitsPerSecond(EndpointIncarnation endpoint) {
        double limit = limits.requestsPerSecond(endpoint).orElse(0);
        double share = view.reachableShare();
        return Math.max(MIN_PERMITS_PER_SECOND, limit) * (share > MAJORITY ? 1 : share);
    }

    private boolean isIssuer(EndpointIncarnation endpoint) {
        return view.issuer(endpoint).filter(self::equals).isPresent();
    }
}

package org.jasminehub.core.limit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.document.WorkspaceRule;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.time.Clock;

/**
 * Holds one workspace to its limits at one entry instance.
 *
 * <p>The instance has a fixed share of each limit. It lends what its own demand leaves and borrows what its demand
 * lacks, for a limited time; without contact to the others it falls back to its fixed share by itself. Under one view
 * the instances together never let through more than each limit: in any T seconds at most {@code limit × (T + 1)} units
 * of a rate and one request for each instance more. While views of different sizes are held, the excess is at most
 * {@code limit × (sum of 1 / size - 1)}.
 *
 * <pre>{@code
 * LimitDecision decision = limiter.acquire(promptTokens + maxAnswerTokens);
 * if (decision instanceof LimitDecision.Allowed allowed) {
 *     ...
 *     limiter.release(allowed, usedTokens);
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class WorkspaceLimiter {
    private static final double DEMAND_HEADROOM = 1.25;
    private static final double FULL_PERCENT = 100;
    private static final long INITIAL_REQUEST_MILLIS = 1000;
    private static final double DURATION_GAIN = 0.1;

    private final Clock clock;
    private final LimitSettings settings;
    private final WorkspaceId workspace;
    private final Map<LimitKind, SharedAmount> shares = new EnumMap<>(LimitKind.class);
    private final Map<LimitKind, DemandMeter> demands = new EnumMap<>(LimitKind.class);
    private final TokenBucket requests;
    private final TokenBucket tokens;
    private int running;
    private double requestMillis = INITIAL_REQUEST_MILLIS;

    /** Creates the limiter of a workspace, without requests. */
    public WorkspaceLimiter(Clock clock, LimitSettings settings, WorkspaceRule rule, ShareView view) {
        this.clock = clock;
        this.settings = settings;
        this.workspace = rule.workspaceId();
        long nowMillis = clock.monotonicMillis();
        shares.put(LimitKind.REQUESTS, new SharedAmount(rule.requestsPerSecond(), false, 0));
        shares.put(LimitKind.TOKENS, new SharedAmount(rule.tokensPerSecond(), false, 0));
        shares.put(
                LimitKind.CONCURRENCY, new SharedAmount(rule.concurrentRequests(), true, settings.maxRequestMillis()));
        shares.values().forEach(share -> share.viewChanged(view));
        for (LimitKind kind : LimitKind.values()) {
            demands.put(kind, new DemandMeter(nowMillis));
        }
        this.requests = new TokenBucket(present(LimitKind.REQUESTS), nowMillis);
        this.tokens = new TokenBucket(present(LimitKind.TOKENS), nowMillis);
    }

    /** Takes the instance's new place among those that share the limits. */
    public synchronized void viewChanged(ShareView view) {
        shares.values().forEach(share -> share.viewChanged(view));
        adaptRates();
    }

    /** Decides on a request that may use up to {@code mostTokens}; one that is allowed must be released. */
    public synchronized LimitDecision acquire(long mostTokens) {
        long nowMillis = clock.monotonicMillis();
        adaptRates();
        demand(LimitKind.REQUESTS).add(1, nowMillis);
        demand(LimitKind.TOKENS).add(mostTokens, nowMillis);
        if (running >= present(LimitKind.CONCURRENCY)) {
            demand(LimitKind.CONCURRENCY).add(1, nowMillis);
            return new LimitDecision.Exceeded(LimitKind.CONCURRENCY, concurrencyWaitMillis());
        }
        long requestsWaitMillis = requests.waitMillis(1, nowMillis);
        if (requestsWaitMillis > 0) {
            return new LimitDecision.Exceeded(LimitKind.REQUESTS, requestsWaitMillis);
        }
        long tokensWaitMillis = tokens.waitMillis(mostTokens, nowMillis);
        if (tokensWaitMillis > 0) {
            return new LimitDecision.Exceeded(LimitKind.TOKENS, tokensWaitMillis);
        }
        requests.take(1);
        tokens.take(mostTokens);
        running++;
        return new LimitDecision.Allowed(mostTokens, nowMillis);
    }

    /** Ends a request that was allowed and gives back the tokens it did not use. */
    public synchronized void release(LimitDecision.Allowed allowed, long usedTokens) {
        running = Math.max(0, running - 1);
        tokens.giveBack(Math.max(0, allowed.chargedTokens() - usedTokens));
        double elapsedMillis = clock.monotonicMillis() - allowed.startMillis();
        requestMillis += DURATION_GAIN * (elapsedMillis - requestMillis);
    }

    /** Returns what this instance should ask of the others, with one of {@code peers} to share each request. */
    public synchronized List<LoanRequest> wantedLoans(int peers) {
        List<LoanRequest> wanted = new ArrayList<>();
        for (LimitKind kind : LimitKind.values()) {
            double missing = wanted(kind) - present(kind);
            if (peers > 0 && missing > 0) {
                double part = kind == LimitKind.CONCURRENCY ? Math.ceil(missing / peers) : missing / peers;
                wanted.add(new LoanRequest(workspace, kind, part, clock.monotonicMillis()));
            }
        }
        return wanted;
    }

    /** Lends what this instance does not need itself. */
    public synchronized LoanReply lend(LoanRequest request) {
        long nowMillis = clock.monotonicMillis();
        double kept = Math.max(wanted(request.kind()), request.kind() == LimitKind.CONCURRENCY ? running : 0);
        double amount = share(request.kind()).lend(request.amount(), kept, nowMillis, settings.loanMillis());
        adaptRates();
        return new LoanReply(amount, settings.loanMillis());
    }

    /** Takes the answer to a request of this instance, however late. */
    public synchronized void borrowed(LoanRequest request, LoanReply reply) {
        double usableMillis = reply.durationMillis() * (1 - settings.maxClockDriftPercent() / FULL_PERCENT);
        long endMillis = request.sentMillis() + (long) usableMillis;
        if (clock.monotonicMillis() < endMillis) {
            share(request.kind()).borrow(reply.amount(), endMillis);
            adaptRates();
        }
    }

    /** Returns this instance's present part of a limit. */
    public synchronized double present(LimitKind kind) {
        return share(kind).present(clock.monotonicMillis());
    }

    private double wanted(LimitKind kind) {
        double demand = demand(kind).perSecond(clock.monotonicMillis());
        return (kind == LimitKind.CONCURRENCY ? running + demand : demand) * DEMAND_HEADROOM;
    }

    private void adaptRates() {
        long nowMillis = clock.monotonicMillis();
        requests.setRate(present(LimitKind.REQUESTS), nowMillis);
        tokens.setRate(present(LimitKind.TOKENS), nowMillis);
    }

    private long concurrencyWaitMillis() {
        return Math.max(1, (long) (requestMillis / Math.max(1, running)));
    }

    private SharedAmount share(LimitKind kind) {
        return shares.getOrDefault(kind, new SharedAmount(0, false, 0));
    }

    private DemandMeter demand(LimitKind kind) {
        return demands.computeIfAbsent(kind, key -> new DemandMeter(clock.monotonicMillis()));
    }
}

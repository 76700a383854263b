package org.jasminehub.core.limit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.document.WorkspaceRule;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.time.Clock;

/**
 * Enforces the limits of one workspace at one entry instance.
 *
 * <p>The instance has a fixed share of each limit. It lends the part that it does not need and borrows the part that
 * it lacks, for a limited time. An instance without contact to the others falls back to its fixed share when its loans
 * expire. While all instances have the same view, together they never exceed a limit: in any T seconds they allow at
 * most {@code limit × (T + 1)} units of a rate, plus one request per instance. While instances have views of different
 * sizes, the excess is at most {@code limit × (sum of 1 / size - 1)}.
 *
 * <pre>{@code
 * LimitDecision decision = limiter.acquire(promptTokens + maxAnswerTokens);
 * if (decision instanceof LimitDecision.Allowed allowed) {
 *     ...
 *     limiter.release(allowed, usedTokens);
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class WorkspaceLimiter {
    private static final double DEMAND_HEADROOM = 1.25;
    private static final double PERCENT = 100;
    private static final long INITIAL_REQUEST_MILLIS = 1000;
    private static final double DURATION_SMOOTHING = 0.1;

    private final Clock clock;
    private final LimitSettings settings;
    private final WorkspaceId workspace;
    private final Map<LimitKind, LimitShare> shares = new EnumMap<>(LimitKind.class);
    private final Map<LimitKind, DemandMeter> demands = new EnumMap<>(LimitKind.class);
    private final TokenBucket requests;
    private final TokenBucket tokens;
    private int running;
    private double requestMillis = INITIAL_REQUEST_MILLIS;

    /** Creates a limiter without running requests. */
    public WorkspaceLimiter(Clock clock, LimitSettings settings, WorkspaceRule rule, ShareView view) {
        this.clock = clock;
        this.settings = settings;
        this.workspace = rule.workspaceId();
        long nowMillis = clock.monotonicMillis();
        shares.put(LimitKind.REQUESTS, new LimitShare(rule.requestsPerSecond(), false, 0));
        shares.put(LimitKind.TOKENS, new LimitShare(rule.tokensPerSecond(), false, 0));
        shares.put(LimitKind.CONCURRENCY, new LimitShare(rule.concurrentRequests(), true, settings.maxRequestMillis()));
        shares.values().forEach(share -> share.viewChanged(view));
        for (LimitKind kind : LimitKind.values()) {
            demands.put(kind, new DemandMeter(nowMillis));
        }
        this.requests = new TokenBucket(currentShare(LimitKind.REQUESTS), nowMillis);
        this.tokens = new TokenBucket(currentShare(LimitKind.TOKENS), nowMillis);
    }

    /** Updates the position of this instance among those that share the limits. */
    public synchronized void viewChanged(ShareView view) {
        shares.values().forEach(share -> share.viewChanged(view));
        updateRates();
    }

    /** Decides on a request that may use up to {@code maxTokens}; an allowed request must be released later. */
    public synchronized LimitDecision acquire(long maxTokens) {
        long nowMillis = clock.monotonicMillis();
        updateRates();
        demand(LimitKind.REQUESTS).add(1, nowMillis);
        demand(LimitKind.TOKENS).add(maxTokens, nowMillis);
        if (running >= currentShare(LimitKind.CONCURRENCY)) {
            demand(LimitKind.CONCURRENCY).add(1, nowMillis);
            return new LimitDecision.Exceeded(LimitKind.CONCURRENCY, concurrencyWaitMillis());
        }
        long requestsWaitMillis = requests.waitMillis(1, nowMillis);
        if (requestsWaitMillis > 0) {
            return new LimitDecision.Exceeded(LimitKind.REQUESTS, requestsWaitMillis);
        }
        long tokensWaitMillis = tokens.waitMillis(maxTokens, nowMillis);
        if (tokensWaitMillis > 0) {
            return new LimitDecision.Exceeded(LimitKind.TOKENS, tokensWaitMillis);
        }
        requests.take(1);
        tokens.take(maxTokens);
        running++;
        return new LimitDecision.Allowed(maxTokens, nowMillis);
    }

    /** Ends an allowed request and refunds the tokens that it did not use. */
    public synchronized void release(LimitDecision.Allowed allowed, long usedTokens) {
        running = Math.max(0, running - 1);
        tokens.refund(Math.max(0, allowed.chargedTokens() - usedTokens));
        double elapsedMillis = clock.monotonicMillis() - allowed.startMillis();
        requestMillis += DURATION_SMOOTHING * (elapsedMillis - requestMillis);
    }

    /** Returns the loans to request from each of {@code peers} instances. */
    public synchronized List<LoanRequest> wantedLoans(int peers) {
        List<LoanRequest> wanted = new ArrayList<>();
        for (LimitKind kind : LimitKind.values()) {
            double shortfall = wanted(kind) - currentShare(kind);
            if (peers > 0 && shortfall > 0) {
                double amount = kind == LimitKind.CONCURRENCY ? Math.ceil(shortfall / peers) : shortfall / peers;
                wanted.add(new LoanRequest(workspace, kind, amount, clock.monotonicMillis()));
            }
        }
        return wanted;
    }

    /** Lends part of the share that this instance does not need itself. */
    public synchronized LoanReply lend(LoanRequest request) {
        long nowMillis = clock.monotonicMillis();
        double reserved = Math.max(wanted(request.kind()), request.kind() == LimitKind.CONCURRENCY ? running : 0);
        double amount = share(request.kind()).lend(request.amount(), reserved, nowMillis, settings.loanMillis());
        updateRates();
        return new LoanReply(amount, settings.loanMillis());
    }

    /** Applies the reply to a loan request of this instance; a reply that arrives after the loan ended is ignored. */
    public synchronized void borrowed(LoanRequest request, LoanReply reply) {
        double usableMillis = reply.durationMillis() * (1 - settings.maxClockDriftPercent() / PERCENT);
        long endMillis = request.sentMillis() + (long) usableMillis;
        if (clock.monotonicMillis() < endMillis) {
            share(request.kind()).borrow(reply.amount(), endMillis);
            updateRates();
        }
    }

    /** Returns the current share of this instance, including loans. */
    public synchronized double currentShare(LimitKind kind) {
        return share(kind).currentAmount(clock.monotonicMillis());
    }

    private double wanted(LimitKind kind) {
        double demand = demand(kind).perSecond(clock.monotonicMillis());
        return (kind == LimitKind.CONCURRENCY ? running + demand : demand) * DEMAND_HEADROOM;
    }

    private void updateRates() {
        long nowMillis = clock.monotonicMillis();
        requests.setRate(currentShare(LimitKind.REQUESTS), nowMillis);
        tokens.setRate(currentShare(LimitKind.TOKENS), nowMillis);
    }

    private long concurrencyWaitMillis() {
        return Math.max(1, (long) (requestMillis / Math.max(1, running)));
    }

    private LimitShare share(LimitKind kind) {
        return shares.getOrDefault(kind, new LimitShare(0, false, 0));
    }

    private DemandMeter demand(LimitKind kind) {
        return demands.computeIfAbsent(kind, key -> new DemandMeter(clock.monotonicMillis()));
    }
}

package org.jasminehub.entry.filter.limit;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.document.WorkspaceRule;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.identity.TeamId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.limit.LimitDecision;
import org.jasminehub.core.limit.LimitSettings;
import org.jasminehub.core.limit.ShareView;
import org.jasminehub.core.limit.WorkspaceLimiter;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.filter.CallerRequest;
import org.jasminehub.entry.filter.CallerResponse;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.entry.filter.RequestFilter;
import org.jasminehub.entry.filter.RequestHandler;

/** Refuses requests that exceed the limits of their workspace, with a retry delay. Thread-safe. */
public final class LimitFilter implements RequestFilter {
    private static final int BYTES_PER_TOKEN = 4;

    private final Clock clock;
    private final LimitSettings settings;
    private final ShareViewSource views;
    private final Map<Key, LimiterEntry> limiters = new ConcurrentHashMap<>();

    private record Key(TeamId team, WorkspaceId workspace) {}

    private record LimiterEntry(WorkspaceRule rule, ShareView view, WorkspaceLimiter limiter) {}

    /** Creates a filter; {@code views} supplies the share of each limit that this instance may use. */
    public LimitFilter(Clock clock, LimitSettings settings, ShareViewSource views) {
        this.clock = clock;
        this.settings = settings;
        this.views = views;
    }

    @Override
    public CompletionStage<CallerResponse> handle(RequestContext context, RequestHandler next) {
        CallerRequest request = context.request();
        WorkspaceLimiter limiter = limiterOf(context);
        LimitDecision decision = limiter.acquire(request.promptTokens() + request.maxAnswerTokens());
        if (decision instanceof LimitDecision.Allowed allowed) {
            Permit permit = new Permit(limiter, allowed);
            return next.handle(context).handle((response, failure) -> {
                if (failure != null) {
                    permit.release(isNotRun(failure) ? 0 : allowed.chargedTokens());
                    throw failure instanceof CompletionException known ? known : new CompletionException(failure);
                }
                return releaseAtEnd(response, request, permit);
            });
        }
        return CompletableFuture.failedFuture(refusal(context, (LimitDecision.Exceeded) decision));
    }

    private static CallerResponse releaseAtEnd(CallerResponse response, CallerRequest request, Permit permit) {
        if (response instanceof CallerResponse.Streamed streamed) {
            return new CallerResponse.Streamed(
                    streamed.status(),
                    streamed.contentType(),
                    permit.releaseAtEnd(streamed.body(), request.promptTokens()));
        }
        ByteString body = ((CallerResponse.Complete) response).body();
        permit.release(request.promptTokens() + body.length() / BYTES_PER_TOKEN);
        return response;
    }

    private WorkspaceLimiter limiterOf(RequestContext context) {
        WorkspaceRule rule = context.workspace();
        ShareView view = views.viewOf(rule.workspaceId());
        Key key = new Key(context.document().document().teamId(), rule.workspaceId());
        LimiterEntry entry = limiters.compute(key, (unused, known) -> {
            if (known == null || !known.rule().equals(rule)) {
                return new LimiterEntry(rule, view, new WorkspaceLimiter(clock, settings, rule, view));
            }
            if (!known.view().equals(view)) {
                known.limiter().viewChanged(view);
                return new LimiterEntry(rule, view, known.limiter());
            }
            return known;
        });
        return entry.limiter();
    }

    private static boolean isNotRun(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof RequestException known && known.outcome() == Outcome.NOT_RUN;
    }

    private static RequestException refusal(RequestContext context, LimitDecision.Exceeded exceeded) {
        return new RequestException(
                ErrorCode.LIMIT_EXCEEDED,
                Outcome.NOT_RUN,
                exceeded.retryAfterMillis(),
                "workspace \"" + context.workspace().name() + "\" is over its limit of "
                        + switch (exceeded.kind()) {
                            case REQUESTS -> "requests a second";
                            case TOKENS -> "tokens a second";
                            case CONCURRENCY -> "requests at a time";
                        });
    }
}

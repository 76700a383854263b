package org.jasminehub.agent.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.TeamId;
import org.jasminehub.wire.generated.AnswerRefused;

/**
 * Refuses calls that were routed by an older version of a team's document than the newest version that an earlier call
 * carried, so that a slow entry instance cannot revert a change that callers have already seen.
 *
 * <p>Thread-safe.
 */
public final class DocumentVersionFilter implements CallFilter {
    private static final long RETRY_AFTER_MILLIS = 100;

    private final Map<TeamId, Long> newestVersions = new ConcurrentHashMap<>();

    @Override
    public void handle(AgentCall call, CallHandler next) {
        long version = call.start().getDocumentVersion();
        long newest = newestVersions.merge(new TeamId(call.start().getTeam()), version, Math::max);
        if (version >= newest) {
            next.handle(call);
            return;
        }
        call.refuse(AnswerRefused.newBuilder()
                .setCode(ErrorCode.DOCUMENT_OUTDATED.code())
                .setOutcome(Outcome.NOT_RUN.label())
                .setRetryAfterMillis(RETRY_AFTER_MILLIS)
                .setNewestDocumentVersion(newest)
                .setMessage("document version " + version + " is older than " + newest));
    }

    /** Returns the newest document version that a call has carried, for each team. */
    public Map<TeamId, Long> newestVersions() {
        return Map.copyOf(newestVersions);
    }
}

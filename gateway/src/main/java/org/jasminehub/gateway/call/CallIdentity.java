package org.jasminehub.gateway.call;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.HttpStatusClass;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.quarantine.CrashSuspect;
import org.jasminehub.core.serving.WorkspaceGrant;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.quarantine.QuarantineController;
import org.jasminehub.platform.hosted.CallHeaders;

/**
 * What identifies a call whose request may crash endpoints: the parts of its prompt, which other requests may share, and
 * the digest of the request, which is the same whenever its caller repeats it.
 */
final class CallIdentity {
    private static final int DIGEST_LENGTH = 32;

    private final CallContext context;
    private final QuarantineController quarantine;
    private String digest = "";

    CallIdentity(CallContext context, QuarantineController quarantine) {
        this.context = context;
        this.quarantine = quarantine;
    }

    private List<String> parts() {
        CallHeaders headers = context.headers;
        return headers == null ? List.of() : headers.promptParts();
    }

    /** Returns the parts of the prompt that other requests may share; empty if the caller states none. */
    List<String> sharedParts() {
        List<String> parts = parts();
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /** Returns the refusal of the call if its request or a part of its prompt is quarantined. */
    Optional<Refusal> refusal() {
        if (quarantine.requests().isActive()) {
            long remainingMillis = quarantine.requests().remainingMillis(digest());
            if (remainingMillis > 0) {
                return Optional.of(Refusal.retryable(
                        ErrorCode.REQUEST_QUARANTINED,
                        remainingMillis,
                        "the request " + digest() + " crashes endpoints"));
            }
        }
        return quarantine
                .findQuarantined(sharedParts())
                .map(parts -> Refusal.quarantined(parts.toString(), quarantine.remainingMillis(parts)));
    }

    /** Returns whether the call should not be retried because it may crash another endpoint. */
    boolean isSuspected() {
        return quarantine.isSuspected(sharedParts())
                || (quarantine.requests().isActive() && quarantine.requests().isSuspected(digest()));
    }

    /** Returns the call as the suspect of a crash; it was sent {@code sentAgeMillis} ago. */
    CrashSuspect asCrashSuspect(long sentAgeMillis) {
        List<String> parts = parts();
        String request = parts.isEmpty() ? digest() : parts.get(parts.size() - 1);
        return new CrashSuspect(request, Set.copyOf(sharedParts()), digest(), sentAgeMillis);
    }

    /** Records that an endpoint has produced output on the prompt. */
    void onOutput() {
        quarantine.onOutput(sharedParts());
    }

    /** Records a complete response with {@code status}; an endpoint that fails for another reason disproves nothing. */
    void onCompleted(int status) {
        boolean isServerError = HttpStatusClass.SERVER_ERROR.contains(status);
        if (!isServerError && quarantine.requests().isActive()) {
            quarantine.requests().onCompleted(digest());
        }
    }

    private String digest() {
        if (digest.isEmpty()) {
            CallerRequest request = context.request;
            WorkspaceGrant grant = context.grant;
            Hasher hasher = Hashing.sha256().newHasher();
            put(hasher, request.method().name());
            put(hasher, request.host());
            put(hasher, request.uri());
            put(hasher, grant == null ? "" : grant.workspace().value());
            parts().forEach(part -> put(hasher, part));
            request.body().forEachSegment(hasher::putBytes);
            digest = hasher.hash().toString().substring(0, DIGEST_LENGTH);
        }
        return digest;
    }

    /** Adds {@code text} with its length, so that different fields cannot add up to the same bytes. */
    private static void put(Hasher hasher, String text) {
        hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }
}

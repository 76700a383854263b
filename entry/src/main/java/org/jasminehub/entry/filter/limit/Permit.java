package org.jasminehub.entry.filter.limit;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.limit.LimitDecision;
import org.jasminehub.core.limit.WorkspaceLimiter;

/** A permit of a request within the limits of its workspace. Can be released only once. Thread-safe. */
final class Permit {
    private final WorkspaceLimiter limiter;
    private final LimitDecision.Allowed allowed;
    private final AtomicBoolean released = new AtomicBoolean();

    Permit(WorkspaceLimiter limiter, LimitDecision.Allowed allowed) {
        this.limiter = limiter;
        this.allowed = allowed;
    }

    void release(long usedTokens) {
        if (released.compareAndSet(false, true)) {
            limiter.release(allowed, usedTokens);
        }
    }

    /**
     * Returns {@code body} unchanged, and releases the permit when the stream completes, fails or is cancelled. Each
     * element counts as one token.
     */
    Source<ByteString, NotUsed> releaseAtEnd(Source<ByteString, NotUsed> body, long promptTokens) {
        AtomicLong elements = new AtomicLong();
        return body.map(bytes -> {
                    elements.incrementAndGet();
                    return bytes;
                })
                .watchTermination((notUsed, ended) -> {
                    ended.whenComplete((done, failure) -> release(promptTokens + elements.get()));
                    return notUsed;
                });
    }
}

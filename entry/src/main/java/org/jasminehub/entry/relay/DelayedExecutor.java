package org.jasminehub.entry.relay;

import org.apache.pekko.actor.Cancellable;

/** Runs tasks after a delay. Implementations must be thread-safe. */
@FunctionalInterface
public interface DelayedExecutor {
    /** Runs {@code task} after {@code delayMillis} unless the returned handle is cancelled before. */
    Cancellable execute(Runnable task, long delayMillis);
}

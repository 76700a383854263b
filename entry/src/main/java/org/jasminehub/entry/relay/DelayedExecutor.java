package org.jasminehub.entry.relay;

import org.apache.pekko.actor.Cancellable;

/** Runs tasks later; must be safe for use by several threads. */
@FunctionalInterface
public interface DelayedExecutor {
    /** Runs {@code task} in {@code delayMillis} unless it is cancelled first. */
    Cancellable execute(Runnable task, long delayMillis);
}

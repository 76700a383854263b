package org.jasminehub.core.era;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Determines when a process that has just started may rely on what it read from the store.
 *
 * <p>Load pattern: processes start while the store shows a copy from before its latest writes. They know no earlier
 * state, so they would apply an old configuration, with keys that were revoked since. Instances write the era into
 * their registrations only when lost records have been written again, so such a registration proves that the store is
 * complete. After a failure of all processes the registrations of the current era are still there, and nobody waits.
 */
public final class StartupPolicy {
    private StartupPolicy() {}

    /**
     * Returns whether the store's records can be relied on.
     *
     * @param current the era that the store reports, null if it reports none
     * @param registeredEras the eras in the registrations of the other instances, 0 where one states none; empty while
     *     the registrations have not been read
     * @param hasInformedPeer whether an instance that accepts callers has shared its state with this process
     * @param millisSinceFirstRead the time since the first record was read
     */
    public static boolean mayRelyOnStore(
            @Nullable StoreEra current,
            Optional<List<Long>> registeredEras,
            boolean hasInformedPeer,
            long millisSinceFirstRead) {
        return current == null
                || registeredEras
                        .map(eras -> eras.isEmpty() || eras.contains(current.number()))
                        .orElse(false)
                || hasInformedPeer
                || millisSinceFirstRead >= EraTracker.REWRITE_MILLIS;
    }
}

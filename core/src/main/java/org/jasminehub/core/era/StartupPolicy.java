package org.jasminehub.core.era;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Determines when a process that has just started can tell that the store shows all records ever acknowledged.
 *
 * <p>Load pattern: processes start while the store shows a copy from before its latest writes. They know no earlier
 * state, so they would apply an old configuration, with keys that were revoked since. Instances write the era into
 * their registrations only when lost records have been written again, so such a registration proves that the store is
 * complete. After a failure of all processes the registrations of the current era are still there, and nobody waits.
 */
public final class StartupPolicy {
    private StartupPolicy() {}

    /**
     * Returns whether no record that was lost in a restore is still missing.
     *
     * @param current the era that the store reports, null if it reports none
     * @param registeredEras the eras in the registrations of the other instances, 0 where one states none; empty while
     *     the registrations have not been read
     * @param millisSinceFirstRead the time since the first record was read
     */
    public static boolean isStoreComplete(
            @Nullable StoreEra current, Optional<List<Long>> registeredEras, long millisSinceFirstRead) {
        return current == null
                || registeredEras
                        .map(eras -> eras.isEmpty() || eras.contains(current.number()))
                        .orElse(false)
                || millisSinceFirstRead >= EraTracker.REWRITE_MILLIS;
    }
}

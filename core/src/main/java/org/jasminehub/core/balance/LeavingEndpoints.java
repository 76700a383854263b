package org.jasminehub.core.balance;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;

/**
 * Remembers the endpoints that announced in a response that they are leaving.
 *
 * <p>The announcement usually arrives before the registration changes, and the registration may be unreadable for a long
 * time. A run that is leaving never accepts work again, so its mark is permanent as long as it may be registered. Another
 * run of the same endpoint, or another endpoint at its address, is not affected.
 *
 * <p>Not thread-safe.
 */
public final class LeavingEndpoints {
    /** A registration that expired may reappear after an outage or a restore of the store. */
    static final long KEPT_AFTER_REMOVAL_MILLIS = 60_000;

    private static final long REGISTERED = Long.MAX_VALUE;

    private final Clock clock;
    private final Map<EndpointIncarnation, Long> removedMillis = new HashMap<>();

    /** Creates a memory in which no endpoint is leaving. */
    public LeavingEndpoints(Clock clock) {
        this.clock = clock;
    }

    /** Records that {@code endpoint} is leaving; returns whether that was not known before. */
    public boolean onAnnounced(EndpointIncarnation endpoint) {
        return removedMillis.putIfAbsent(endpoint, REGISTERED) == null;
    }

    /** Returns whether {@code endpoint} announced that it is leaving. */
    public boolean isLeaving(EndpointRecord endpoint) {
        return removedMillis.containsKey(endpoint.incarnation());
    }

    /** Returns the number of remembered endpoints. */
    public int size() {
        return removedMillis.size();
    }

    /** Forgets the endpoints that have been missing from {@code registered} for some time. */
    public void onRegistrations(Collection<EndpointRecord> registered) {
        if (removedMillis.isEmpty()) {
            return;
        }
        long nowMillis = clock.monotonicMillis();
        Set<EndpointIncarnation> present =
                registered.stream().map(EndpointRecord::incarnation).collect(Collectors.toSet());
        removedMillis.replaceAll((endpoint, removed) -> {
            if (present.contains(endpoint)) {
                return REGISTERED;
            }
            return removed == REGISTERED ? Long.valueOf(nowMillis) : removed;
        });
        removedMillis
                .values()
                .removeIf(removed -> removed != REGISTERED && nowMillis - removed >= KEPT_AFTER_REMOVAL_MILLIS);
    }
}

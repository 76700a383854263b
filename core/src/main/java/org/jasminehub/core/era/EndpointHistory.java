package org.jasminehub.core.era;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EndpointRegistration;
import org.jasminehub.core.time.Clock;

/**
 * Remembers the newest registration of each endpoint, also of those that have left.
 *
 * <p>Load pattern: endpoints leave, the store is restored from a copy made before that, and the copy shows them as
 * serving. Calls sent to them fail or, if the address was assigned again, reach another endpoint. Registrations of
 * different eras are ordered by the endpoint's start and its registration counter, never by their offsets.
 *
 * <p>Not thread-safe.
 */
public final class EndpointHistory {
    /** Several heartbeats longer than the store needs to remove the restored registration of a silent endpoint. */
    private static final long DEPARTURE_KEPT_MILLIS = 60_000;

    /** The era of entries that were learned from a peer; it precedes all eras of the store. */
    private static final long BEFORE_ALL_ERAS = -1;

    private final EraTracker eras;
    private final Clock clock;
    private final Map<EndpointId, Entry> entries = new HashMap<>();

    /** Creates an empty history. */
    public EndpointHistory(EraTracker eras, Clock clock) {
        this.eras = eras;
        this.clock = clock;
    }

    /** Returns whether {@code read} is a registration from before a restore that a known one supersedes. */
    public boolean isOutdated(EndpointRegistration read) {
        Entry known = entries.get(read.endpoint().id());
        if (known == null || known.era() >= currentEra()) {
            return false;
        }
        long startedWallMillis = read.endpoint().startedWallMillis();
        if (startedWallMillis != known.startedWallMillis()) {
            return startedWallMillis < known.startedWallMillis();
        }
        return known.isUnavailable() ? read.sequence() <= known.sequence() : read.sequence() < known.sequence();
    }

    /** Records a registration that was accepted as the newest one of its endpoint. */
    public void onAccepted(EndpointRegistration registration) {
        entries.put(
                registration.endpoint().id(),
                new Entry(
                        registration.endpoint().startedWallMillis(),
                        registration.sequence(),
                        registration.endpoint().isDraining(),
                        currentEra(),
                        clock.monotonicMillis()));
    }

    /** Records that the endpoint {@code id} is no longer registered. */
    public void onDeparted(EndpointId id) {
        Entry known = entries.get(id);
        long nowMillis = clock.monotonicMillis();
        if (known != null) {
            entries.put(id, new Entry(known.startedWallMillis(), known.sequence(), true, currentEra(), nowMillis));
        }
        entries.values()
                .removeIf(entry -> entry.isUnavailable() && nowMillis - entry.changedMillis() > DEPARTURE_KEPT_MILLIS);
    }

    /** Records an endpoint that a peer knows to have left although a restored store may still show it. */
    public void onPeerDeparture(DepartedEndpoint departed) {
        Entry known = entries.get(departed.id());
        boolean isNewer = known == null
                || departed.startedWallMillis() > known.startedWallMillis()
                || (departed.startedWallMillis() == known.startedWallMillis()
                        && departed.sequence() >= known.sequence());
        if (isNewer) {
            entries.put(
                    departed.id(),
                    new Entry(
                            departed.startedWallMillis(),
                            departed.sequence(),
                            true,
                            BEFORE_ALL_ERAS,
                            clock.monotonicMillis()));
        }
    }

    /** Returns whether the run {@code endpoint} is known to accept no more calls. */
    public boolean isDeparted(EndpointRecord endpoint) {
        Entry known = entries.get(endpoint.id());
        return known != null && known.isUnavailable() && known.startedWallMillis() == endpoint.startedWallMillis();
    }

    /** Returns the endpoints that left or began to drain before the current era. */
    public List<DepartedEndpoint> departedBeforeRestore() {
        List<DepartedEndpoint> result = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (entry.isUnavailable() && entry.era() < currentEra()) {
                result.add(new DepartedEndpoint(id, entry.startedWallMillis(), entry.sequence()));
            }
        });
        return result;
    }

    private long currentEra() {
        return eras.current().map(StoreEra::number).orElse(0L);
    }

    /** The newest registration of an endpoint, the era in which it was read, and whether it accepts no more calls. */
    private record Entry(long startedWallMillis, long sequence, boolean isUnavailable, long era, long changedMillis) {}
}

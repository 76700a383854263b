package org.jasminehub.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * Chooses which peers an instance sends heartbeats to.
 *
 * <p>Instances stand on a ring in the order of a hash of their names; each watches its next few. So each is also watched
 * by as many, neighbours lie in unrelated failure domains, and neither state nor traffic grows with the size of the
 * system.
 *
 * <p>Immutable.
 */
public final class HeartbeatRing {
    private final int watchCount;

    /** Creates a ring on which each instance watches {@code watchCount} others. */
    public HeartbeatRing(int watchCount) {
        this.watchCount = (int) Checks.positive("watchCount", watchCount);
    }

    /** Returns whom {@code self} watches among {@code all}. */
    public List<InstanceId> watchedBy(InstanceId self, Collection<InstanceId> all) {
        Place own = Place.of(self);
        List<Place> others = all.stream()
                .filter(id -> !id.equals(self))
                .map(Place::of)
                .sorted()
                .toList();
        int next =
                (int) others.stream().filter(place -> place.compareTo(own) < 0).count();
        List<InstanceId> watched = new ArrayList<>();
        for (int i = 0; i < Math.min(watchCount, others.size()); i++) {
            watched.add(others.get((next + i) % others.size()).id());
        }
        return watched;
    }

    private record Place(long hash, InstanceId id) implements Comparable<Place> {
        static Place of(InstanceId id) {
            long hash = Hashing.murmur3_128()
                    .hashString(id.value(), StandardCharsets.UTF_8)
                    .asLong();
            return new Place(hash, id);
        }

        @Override
        public int compareTo(Place other) {
            int byHash = Long.compare(hash, other.hash);
            return byHash != 0 ? byHash : id.compareTo(other.id);
        }
    }
}

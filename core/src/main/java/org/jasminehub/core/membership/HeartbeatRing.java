package org.jasminehub.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * Chooses which peers an instance sends heartbeats to.
 *
 * <p>Instances stand on a ring in the order of a hash of their names; each watches a few others at distances that grow
 * geometrically. So each is also watched by as many, news crosses the ring in a number of hops that grows with the
 * logarithm of its size, and neither state nor traffic grows with the size of the system.
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
        return distances(others.size())
                .mapToObj(distance ->
                        others.get((next + distance - 1) % others.size()).id())
                .toList();
    }

    /** Returns different distances from 1 to {@code otherCount}, each about as many times the one before. */
    private IntStream distances(int otherCount) {
        double factor = Math.pow(otherCount + 1.0, 1.0 / watchCount);
        int[] distances = new int[Math.min(watchCount, otherCount)];
        for (int i = 0; i < distances.length; i++) {
            int wanted = (int) Math.round(Math.pow(factor, i));
            int lowest = i == 0 ? 1 : distances[i - 1] + 1;
            distances[i] = Math.min(Math.max(wanted, lowest), otherCount - distances.length + i + 1);
        }
        return Arrays.stream(distances);
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

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
 * Chooses the peers that an instance watches and exchanges heartbeats with.
 *
 * <p>Instances are ordered on a ring by a hash of their names, and each watches a few others at geometrically
 * increasing distances. Each instance is therefore watched by the same number of others, facts spread to all instances
 * in a number of hops that is logarithmic in the size of the ring, and neither the state nor the traffic of an instance
 * grows with the size of the system.
 *
 * <p>Immutable.
 */
public final class HeartbeatRing {
    private final int watchCount;

    /** Creates a ring on which each instance watches {@code watchCount} others. */
    public HeartbeatRing(int watchCount) {
        this.watchCount = (int) Checks.positive("watchCount", watchCount);
    }

    /** Returns the members of {@code all} that {@code self} watches. */
    public List<InstanceId> watchedBy(InstanceId self, Collection<InstanceId> all) {
        RingPosition own = RingPosition.of(self);
        List<RingPosition> others = all.stream()
                .filter(id -> !id.equals(self))
                .map(RingPosition::of)
                .sorted()
                .toList();
        int next = (int)
                others.stream().filter(position -> position.compareTo(own) < 0).count();
        return distances(others.size())
                .mapToObj(distance ->
                        others.get((next + distance - 1) % others.size()).id())
                .toList();
    }

    /** Returns distinct, increasing distances from 1 to {@code otherCount} with an approximately constant ratio. */
    private IntStream distances(int otherCount) {
        double factor = Math.pow(otherCount + 1.0, 1.0 / watchCount);
        int[] distances = new int[Math.min(watchCount, otherCount)];
        for (int i = 0; i < distances.length; i++) {
            int ideal = (int) Math.round(Math.pow(factor, i));
            int minimum = i == 0 ? 1 : distances[i - 1] + 1;
            distances[i] = Math.min(Math.max(ideal, minimum), otherCount - distances.length + i + 1);
        }
        return Arrays.stream(distances);
    }

    private record RingPosition(long hash, InstanceId id) implements Comparable<RingPosition> {
        static RingPosition of(InstanceId id) {
            long hash = Hashing.murmur3_128()
                    .hashString(id.value(), StandardCharsets.UTF_8)
                    .asLong();
            return new RingPosition(hash, id);
        }

        @Override
        public int compareTo(RingPosition other) {
            int byHash = Long.compare(hash, other.hash);
            return byHash != 0 ? byHash : id.compareTo(other.id);
        }
    }
}

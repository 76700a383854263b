package org.jasminehub.core.experts.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the instance that coordinates the expert map of a group.
 *
 * <p>Load pattern: the ranks of all groups report several times a second, and each report of a large group contains
 * thousands of counts. A single coordinator for all groups, which may be the smallest instance, becomes slow, and every
 * step of every group waits for its orders. Therefore groups are spread by rendezvous hashing over the instances with
 * the most powerful processors. Instances with different views may choose differently for a moment, which is safe.
 */
public final class CoordinatorChoice {
    /** Instances with less than this share of the most powerful one's capacity coordinate no group. */
    private static final double MIN_CAPACITY_SHARE = 0.6;

    private CoordinatorChoice() {}

    /**
     * An instance that can coordinate groups.
     *
     * @param name the name of the instance
     * @param capacity what its processor can do, in any unit common to all candidates
     */
    public record Candidate(String name, double capacity) {}

    /** Returns the name of the instance that coordinates {@code group}, or empty if there is no candidate. */
    public static Optional<String> coordinator(String group, Collection<Candidate> candidates) {
        double highest =
                candidates.stream().mapToDouble(Candidate::capacity).max().orElse(0);
        return candidates.stream()
                .filter(candidate -> candidate.capacity() >= highest * MIN_CAPACITY_SHARE)
                .map(Candidate::name)
                .max(Comparator.<String>comparingLong(name -> score(group, name))
                        .thenComparing(Comparator.naturalOrder()));
    }

    private static long score(String group, String name) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(group, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(name, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}

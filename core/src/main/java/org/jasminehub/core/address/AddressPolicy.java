package org.jasminehub.core.address;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Member;

/**
 * Chooses a small, stable subset of the live entry instances for a workspace, spread over failure domains.
 *
 * <p>The instances are ranked by rendezvous hashing, so that a change of one instance affects only the workspaces that
 * used it. The best-ranked instance of each failure domain precedes all others.
 *
 * <pre>{@code
 * List<Member> addresses = new AddressPolicy(3).choose(workspace, liveEntries);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class AddressPolicy {
    private final int count;

    /** Creates a policy that chooses up to {@code count} instances, which must be at least 1. */
    public AddressPolicy(int count) {
        this.count = (int) Checks.positive("count", count);
    }

    /** Returns the maximum number of instances chosen. */
    public int count() {
        return count;
    }

    /** Returns the chosen instances in order of preference; empty only if no entry instance is live. */
    public List<Member> choose(WorkspaceId workspace, List<Member> entries) {
        List<Member> ranked = entries.stream()
                .filter(Member::isLive)
                .sorted(Comparator.<Member>comparingLong(member -> -score(workspace, member))
                        .thenComparing(Member::id))
                .toList();
        List<Member> spread = bestOfEachDomainFirst(ranked);
        return spread.subList(0, Math.min(count, spread.size()));
    }

    private static List<Member> bestOfEachDomainFirst(List<Member> ranked) {
        Set<FailureDomain> seen = new HashSet<>();
        List<Member> first = new ArrayList<>();
        List<Member> rest = new ArrayList<>();
        for (Member member : ranked) {
            boolean isFirst = seen.add(member.failureDomain());
            (isFirst ? first : rest).add(member);
        }
        first.addAll(rest);
        return first;
    }

    private static long score(WorkspaceId workspace, Member member) {
        long hash = Hashing.murmur3_128()
                .newHasher()
                .putString(workspace.value(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(member.id().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
        return hash >>> 1;
    }
}

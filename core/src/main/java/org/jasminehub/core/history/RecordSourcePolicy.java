package org.jasminehub.core.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Member;

/**
 * Decides where each entry instance reads new records, so that only a few instances load the log.
 *
 * <p>In each failure domain the first {@code readersPerDomain} instances in hash order read the log. Every other
 * instance requests records from an instance that precedes it, so that no instance serves more than {@code fanOut}
 * others. The order does not depend on an instance's view of the members, so instances with different views never form
 * a cycle.
 *
 * <pre>{@code
 * RecordSource source = new RecordSourcePolicy(2, 2).source(self, domain, reachableMembers);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class RecordSourcePolicy {
    private final int readersPerDomain;
    private final int fanOut;

    /** Creates a policy with {@code readersPerDomain} log readers and at most {@code fanOut} peers per instance. */
    public RecordSourcePolicy(int readersPerDomain, int fanOut) {
        this.readersPerDomain = (int) Checks.positive("readersPerDomain", readersPerDomain);
        this.fanOut = (int) Checks.positive("fanOut", fanOut);
    }

    /** Returns where {@code self} reads new records, given the members that it can currently reach. */
    public RecordSource source(InstanceId self, FailureDomain domain, List<Member> reachable) {
        List<Member> ranked = rankedIn(domain, reachable);
        int rank = InstanceRanking.rankOf(self, ranked);
        if (rank < readersPerDomain) {
            return new RecordSource.Log();
        }
        return new RecordSource.Peer(ranked.get((rank - readersPerDomain) / fanOut));
    }

    /** Returns the hops that a record needs from a log reader to the last of {@code instances} in a failure domain. */
    public int hops(int instances) {
        int hops = 0;
        int last = instances - 1;
        while (last >= readersPerDomain) {
            last = (last - readersPerDomain) / fanOut;
            hops++;
        }
        return hops;
    }

    /**
     * Returns at most {@code count} peers that {@code self} can ask if its own source does not reply or {@code self}
     * has just started. The first instance of its own failure domain comes first, then the first of each other domain,
     * then the remaining instances.
     */
    public List<Member> fallbackPeers(InstanceId self, FailureDomain domain, List<Member> reachable, int count) {
        List<Member> others = InstanceRanking.rankLiveEntries(reachable).stream()
                .filter(member -> !member.id().equals(self))
                .toList();
        List<Member> peers = new ArrayList<>();
        Set<FailureDomain> domains = new HashSet<>();
        others.stream()
                .filter(member -> member.failureDomain().equals(domain))
                .limit(1)
                .forEach(peers::add);
        domains.add(domain);
        others.stream().filter(member -> domains.add(member.failureDomain())).forEach(peers::add);
        others.stream().filter(member -> !peers.contains(member)).forEach(peers::add);
        return List.copyOf(peers.subList(0, Math.min(count, peers.size())));
    }

    private static List<Member> rankedIn(FailureDomain domain, List<Member> members) {
        return InstanceRanking.rankLiveEntries(members).stream()
                .filter(member -> member.failureDomain().equals(domain))
                .toList();
    }
}

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
 * Decides whom each instance asks for new records: in each failure domain the first few in rank read the log, and every
 * other asks one that goes before it, so that no instance answers more than {@code fanOut} others.
 *
 * <p>An instance's source always goes before it in an order that no view changes, so views that differ make no circle.
 *
 * <pre>{@code
 * RecordSource source = new SpreadPolicy(2, 2).source(self, domain, liveMembersThatAnswer);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class SpreadPolicy {
    private final int readersPerDomain;
    private final int fanOut;

    /** Creates a policy with {@code readersPerDomain} readers of the log and at most {@code fanOut} askers each. */
    public SpreadPolicy(int readersPerDomain, int fanOut) {
        this.readersPerDomain = (int) Checks.positive("readersPerDomain", readersPerDomain);
        this.fanOut = (int) Checks.positive("fanOut", fanOut);
    }

    /** Returns where {@code self} reads, given the members that it can reach at present. */
    public RecordSource source(InstanceId self, FailureDomain domain, List<Member> reachable) {
        List<Member> ranked = rankedIn(domain, reachable);
        int rank = InstanceRanking.rankOf(self, ranked);
        if (rank < readersPerDomain) {
            return new RecordSource.Log();
        }
        return new RecordSource.Peer(ranked.get((rank - readersPerDomain) / fanOut));
    }

    /** Returns how many hops a record takes from the log's readers to the last of {@code instances} in a domain. */
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
     * Returns at most {@code count} peers for {@code self} to ask when its own source does not answer or it has just
     * started: the first in rank of its own failure domain, then of each other.
     */
    public List<Member> alternates(InstanceId self, FailureDomain domain, List<Member> reachable, int count) {
        List<Member> others = InstanceRanking.rankLiveEntries(reachable).stream()
                .filter(member -> !member.id().equals(self))
                .toList();
        List<Member> chosen = new ArrayList<>();
        Set<FailureDomain> domains = new HashSet<>();
        others.stream()
                .filter(member -> member.failureDomain().equals(domain))
                .limit(1)
                .forEach(chosen::add);
        domains.add(domain);
        others.stream().filter(member -> domains.add(member.failureDomain())).forEach(chosen::add);
        others.stream().filter(member -> !chosen.contains(member)).forEach(chosen::add);
        return List.copyOf(chosen.subList(0, Math.min(count, chosen.size())));
    }

    private static List<Member> rankedIn(FailureDomain domain, List<Member> members) {
        return InstanceRanking.rankLiveEntries(members).stream()
                .filter(member -> member.failureDomain().equals(domain))
                .toList();
    }
}

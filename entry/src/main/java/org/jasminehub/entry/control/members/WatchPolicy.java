package org.jasminehub.entry.control.members;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jasminehub.core.address.DomainDistance;
import org.jasminehub.core.address.EndpointSubsetPolicy;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.HeartbeatRing;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.Target;

/** Selects the members that an entry instance watches: a few peers and a few agents of each target. Immutable. */
final class WatchPolicy {
    private static final int PEERS = 8;
    private static final int AGENTS_PER_TARGET = 16;
    private static final int FAR_AGENTS_PER_TARGET = 4;

    private final InstanceId self;
    private final DomainDistance distance;
    private final HeartbeatRing ring = new HeartbeatRing(PEERS);
    private final EndpointSubsetPolicy subset = new EndpointSubsetPolicy(AGENTS_PER_TARGET, FAR_AGENTS_PER_TARGET);

    WatchPolicy(InstanceId self, DomainDistance distance) {
        this.self = self;
        this.distance = distance;
    }

    /** Returns the ids of the members to watch, selected from {@code members}. */
    Set<InstanceId> choose(Collection<Member> members) {
        Set<InstanceId> watched = new HashSet<>(ring.watchedBy(self, entries(members)));
        agentsByTarget(members)
                .values()
                .forEach(agents -> subset.choose(self, agents, distance).forEach(agent -> watched.add(agent.id())));
        return watched;
    }

    private static List<InstanceId> entries(Collection<Member> members) {
        return members.stream()
                .filter(member -> member.role() == MemberRole.ENTRY)
                .map(Member::id)
                .toList();
    }

    private static Map<String, Set<Member>> agentsByTarget(Collection<Member> members) {
        Map<String, Set<Member>> agents = new TreeMap<>();
        for (Member member : members) {
            for (Target target : member.serves()) {
                agents.computeIfAbsent(target.toString(), key -> new HashSet<>())
                        .add(member);
            }
        }
        return agents;
    }
}

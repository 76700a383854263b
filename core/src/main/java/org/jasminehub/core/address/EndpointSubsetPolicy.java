package org.jasminehub.core.address;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Member;

/**
 * Chooses the bounded set of endpoints of one target that an entry instance watches and sends work to.
 *
 * <p>The agents of each failure domain are ranked by rendezvous hashing, so that a change of one agent has little
 * effect on the choice. Agents are selected from the nearest failure domains in round-robin order. A part of the set is
 * reserved for agents of farther domains, so that known endpoints remain if all near ones are lost.
 *
 * <pre>{@code
 * List<Member> watched = new EndpointSubsetPolicy(16, 4).choose(self, agentsOfTarget, distance);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class EndpointSubsetPolicy {
    private final int count;
    private final int farCount;

    /** Creates a policy that chooses up to {@code count} agents, {@code farCount} of them from farther domains. */
    public EndpointSubsetPolicy(int count, int farCount) {
        this.count = (int) Checks.positive("count", count);
        this.farCount = (int) Checks.inRange("farCount", farCount, 0, count - 1);
    }

    /** Returns the chosen agents; leaving agents are never chosen. */
    public List<Member> choose(InstanceId self, Collection<Member> agents, DomainDistance distance) {
        TreeMap<Integer, List<Member>> byDistance = agents.stream()
                .filter(Member::isLive)
                .collect(Collectors.groupingBy(
                        agent -> distance.distance(agent.failureDomain()), TreeMap::new, Collectors.toList()));
        if (byDistance.isEmpty()) {
            return List.of();
        }
        List<Member> near = interleaveByDomain(self, byDistance.pollFirstEntry().getValue());
        List<Member> far = new ArrayList<>();
        byDistance.values().forEach(agentsAtDistance -> far.addAll(interleaveByDomain(self, agentsAtDistance)));
        int farSelected = Math.min(far.size(), Math.max(farCount, count - near.size()));
        List<Member> chosen = new ArrayList<>(near.subList(0, Math.min(near.size(), count - farSelected)));
        chosen.addAll(far.subList(0, farSelected));
        return List.copyOf(chosen);
    }

    /** Orders agents so that each prefix is spread evenly over failure domains, best-ranked agents first. */
    private static List<Member> interleaveByDomain(InstanceId self, List<Member> agents) {
        Map<FailureDomain, Deque<Member>> byDomain = new TreeMap<>();
        for (Member agent : ranked(self, agents)) {
            byDomain.computeIfAbsent(agent.failureDomain(), domain -> new ArrayDeque<>())
                    .add(agent);
        }
        // The order of domains differs between instances, so that the last, incomplete round favours no domain.
        List<Deque<Member>> queues = byDomain.entrySet().stream()
                .sorted(Comparator.comparingLong(
                        entry -> score(self.value(), entry.getKey().value())))
                .map(Map.Entry::getValue)
                .toList();
        List<Member> ordered = new ArrayList<>(agents.size());
        while (ordered.size() < agents.size()) {
            for (Deque<Member> queue : queues) {
                if (!queue.isEmpty()) {
                    ordered.add(queue.removeFirst());
                }
            }
        }
        return ordered;
    }

    private static List<Member> ranked(InstanceId self, List<Member> agents) {
        record Ranked(long score, Member agent) {}
        return agents.stream()
                .map(agent -> new Ranked(score(self.value(), agent.id().value()), agent))
                .sorted(Comparator.comparingLong(Ranked::score)
                        .thenComparing(ranked -> ranked.agent().id()))
                .map(Ranked::agent)
                .toList();
    }

    private static long score(String instance, String candidate) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(instance, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(candidate, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}

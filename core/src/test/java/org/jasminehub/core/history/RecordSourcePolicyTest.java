package org.jasminehub.core.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.junit.jupiter.api.Test;

final class RecordSourcePolicyTest {
    private static final int READERS = 2;
    private static final int FAN_OUT = 3;
    private static final FailureDomain DOMAIN = new FailureDomain("domain-0");

    private final RecordSourcePolicy policy = new RecordSourcePolicy(READERS, FAN_OUT);

    private static List<Member> inOneDomain(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> HistoryFixtures.entry(i, "domain-0"))
                .toList();
    }

    private Map<InstanceId, RecordSource> sources(List<Member> members) {
        Map<InstanceId, RecordSource> sources = new HashMap<>();
        members.forEach(member -> sources.put(member.id(), policy.source(member.id(), DOMAIN, members)));
        return sources;
    }

    @Test
    void testReadersAndFanOutAreBounded() {
        Map<InstanceId, Integer> clientCounts = new HashMap<>();
        int readers = 0;
        for (RecordSource source : sources(inOneDomain(177)).values()) {
            if (source instanceof RecordSource.Peer peer) {
                clientCounts.merge(peer.member().id(), 1, Integer::sum);
            } else {
                readers++;
            }
        }
        assertEquals(READERS, readers);
        assertTrue(clientCounts.values().stream().allMatch(count -> count <= FAN_OUT));
    }

    @Test
    void testHopsMatchTheLongestPathToTheLog() {
        Map<InstanceId, RecordSource> sources = sources(inOneDomain(177));
        int longest = 0;
        for (RecordSource source : sources.values()) {
            int hops = 0;
            while (source instanceof RecordSource.Peer peer) {
                source = sources.get(peer.member().id());
                hops++;
            }
            longest = Math.max(longest, hops);
        }
        assertEquals(longest, policy.hops(177));
    }

    @Test
    void testInstanceWithoutReachableMembersReadsTheLog() {
        assertEquals(new RecordSource.Log(), policy.source(new InstanceId("entry-1"), DOMAIN, List.of()));
    }

    @Test
    void testFallbackPeersSpanFailureDomains() {
        List<Member> members = IntStream.range(0, 9)
                .mapToObj(i -> HistoryFixtures.entry(i, "domain-" + i % 3))
                .toList();
        List<Member> peers = policy.fallbackPeers(new InstanceId("entry-0"), DOMAIN, members, 3);
        assertEquals(DOMAIN, peers.get(0).failureDomain());
        assertEquals(3, peers.stream().map(Member::failureDomain).distinct().count());
        assertFalse(peers.stream().anyMatch(member -> member.id().equals(new InstanceId("entry-0"))));
    }

    @Property(seed = "45", tries = 200)
    void testInstancesWithDifferentViewsNeverFormACycle(@ForAll long seed) {
        Random random = new Random(seed);
        List<Member> all = inOneDomain(30);
        Map<InstanceId, RecordSource> sources = new HashMap<>();
        for (Member member : all) {
            List<Member> view = new ArrayList<>(all);
            Collections.shuffle(view, random);
            sources.put(member.id(), policy.source(member.id(), DOMAIN, view.subList(0, 5 + random.nextInt(25))));
        }
        for (Member member : all) {
            Set<InstanceId> visited = new HashSet<>();
            RecordSource source = sources.get(member.id());
            while (source instanceof RecordSource.Peer peer) {
                assertTrue(visited.add(peer.member().id()));
                source = sources.get(peer.member().id());
            }
        }
    }
}

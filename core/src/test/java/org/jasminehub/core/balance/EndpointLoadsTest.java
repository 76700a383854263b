package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class EndpointLoadsTest {
    private static final long MAX_PEER_AGE_MILLIS = 2_000;

    private final ManualClock clock = new ManualClock(10_000);
    private final EndpointLoads loads = new EndpointLoads(clock);

    private static EndpointId endpoint(int number) {
        return new EndpointId("e-" + number);
    }

    /** The open calls of a peer and the time at which it stated them. */
    private record Stated(long atMillis, Map<EndpointId, Integer> calls) {}

    @Test
    void testOpenCallsAreTheSumOfAllRecentStatementsAtAnyTime() {
        Random random = new Random(7);
        Map<String, Stated> statedByPeer = new HashMap<>();
        int[] own = new int[6];
        for (int step = 0; step < 20_000; step++) {
            clock.advanceMillis(random.nextInt(60));
            String peer = "p-" + random.nextInt(5);
            int endpoint = random.nextInt(own.length);
            switch (random.nextInt(8)) {
                case 0 -> {
                    loads.onSent(endpoint(endpoint));
                    own[endpoint]++;
                }
                case 1 -> {
                    loads.onEnded(endpoint(endpoint));
                    own[endpoint] = Math.max(0, own[endpoint] - 1);
                }
                case 2 -> {
                    loads.forgetPeer(peer);
                    statedByPeer.remove(peer);
                }
                case 3 -> clock.advanceMillis(random.nextInt(900));
                default -> {
                    Map<EndpointId, Integer> calls = new HashMap<>();
                    for (int each = 0; each < own.length; each++) {
                        if (random.nextBoolean()) {
                            calls.put(endpoint(each), 1 + random.nextInt(9));
                        }
                    }
                    loads.onPeerLoads(peer, calls);
                    statedByPeer.put(peer, new Stated(clock.monotonicMillis(), calls));
                }
            }
            List<Integer> expected = new ArrayList<>();
            List<Integer> found = new ArrayList<>();
            for (int each = 0; each < own.length; each++) {
                expected.add(own[each] + sumOfRecent(statedByPeer, endpoint(each)));
                found.add(loads.openCalls(endpoint(each)));
            }
            assertEquals(expected, found, "step " + step);
        }
    }

    private int sumOfRecent(Map<String, Stated> statedByPeer, EndpointId endpoint) {
        int sum = 0;
        for (Stated stated : statedByPeer.values()) {
            if (clock.monotonicMillis() - stated.atMillis() <= MAX_PEER_AGE_MILLIS) {
                sum += stated.calls().getOrDefault(endpoint, 0);
            }
        }
        return sum;
    }

    @Test
    void testSlowdownsOfSeveralCoordinatorsDoNotReplaceEachOther() {
        loads.onSlowdowns("c-1", Map.of(endpoint(1), 3.0));
        loads.onSlowdowns("c-2", Map.of(endpoint(2), 4.0));

        assertEquals(3.0, loads.slowdown(endpoint(1)));
        assertEquals(4.0, loads.slowdown(endpoint(2)));
    }

    @Test
    void testSlowdownEndsWithItsCoordinator() {
        loads.onSlowdowns("c-1", Map.of(endpoint(1), 3.0));
        clock.advanceMillis(MAX_PEER_AGE_MILLIS + 1);

        assertEquals(1.0, loads.slowdown(endpoint(1)));
    }
}

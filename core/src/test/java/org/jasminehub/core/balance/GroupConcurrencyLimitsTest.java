package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.serving.GroupSeat;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class GroupConcurrencyLimitsTest {
    private static final int RANKS = 8;
    private static final int SLOTS = 7;
    private static final int OPEN_CALLS = 4;
    private static final long MAX_GAP_MILLIS = 150;

    private static final EngineProfile ENGINE =
            new EngineProfile(SLOTS, 100_000, 5, 4.55, 1.36, 60, 800, 96, ExpertLayout.NONE);

    private final ManualClock clock = new ManualClock(10_000);
    private final GroupConcurrencyLimits limits = new GroupConcurrencyLimits(clock);

    private static EndpointRecord endpoint(String group, int rank) {
        return new EndpointRecord(
                new EndpointId(group + "-" + rank),
                1,
                "s",
                "10.0.0.1",
                80 + rank,
                new FailureDomain("a"),
                SLOTS,
                false,
                new GroupSeat(group, 1, rank, RANKS, true));
    }

    private static List<EndpointRecord> twoGroups() {
        List<EndpointRecord> result = new ArrayList<>();
        for (int rank = 0; rank < RANKS; rank++) {
            result.add(endpoint("fast", rank));
            result.add(endpoint("slow", rank));
        }
        return result;
    }

    @Test
    void testPausesInOneGroupDoNotKeepCallsFromTheOther() {
        for (int event = 0; event < 20; event++) {
            clock.advanceMillis(10);
            limits.onEventGap(endpoint("fast", event % RANKS), 40);
            limits.onEventGap(endpoint("slow", event % RANKS), 400);
        }

        Map<EndpointId, Double> callsPerSlot =
                limits.callsPerSlot(ENGINE, MAX_GAP_MILLIS, twoGroups(), endpoint -> OPEN_CALLS);

        double fast = callsPerSlot.getOrDefault(new EndpointId("fast-0"), 0.0);
        double slow = callsPerSlot.getOrDefault(new EndpointId("slow-0"), 0.0);
        assertTrue(fast * SLOTS > OPEN_CALLS, "fast group: " + fast);
        assertTrue(slow * SLOTS < OPEN_CALLS, "slow group: " + slow);
    }

    @Test
    void testOneGroupIsLimitedAsByAnUndividedLimit() {
        StreamConcurrencyLimit undivided = new StreamConcurrencyLimit(clock);
        for (int event = 0; event < 20; event++) {
            clock.advanceMillis(10);
            limits.onEventGap(endpoint("g", event % RANKS), 120);
            undivided.onEventGap(120);
        }
        List<EndpointRecord> group = List.of(endpoint("g", 0), endpoint("g", 1));

        Map<EndpointId, Double> callsPerSlot =
                limits.callsPerSlot(ENGINE, MAX_GAP_MILLIS, group, endpoint -> OPEN_CALLS);

        double expected = undivided.callsPerSlot(ENGINE, MAX_GAP_MILLIS, (double) OPEN_CALLS / SLOTS);
        assertEquals(expected, callsPerSlot.getOrDefault(new EndpointId("g-1"), 0.0));
    }
}

package org.jasminehub.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class OutlierPolicyTest {
    private final ManualClock clock = new ManualClock(0);
    private final List<Event> events = new ArrayList<>();
    private final OutlierPolicy policy = new OutlierPolicy(clock, OutlierSettings.defaults(), events::add);
    private final List<EndpointId> endpoints =
            IntStream.range(0, 12).mapToObj(i -> new EndpointId("text-" + i)).toList();

    /** Records {@code count} attempts at every endpoint; those at the first {@code failing} endpoints fail. */
    private void recordAttempts(int count, int failing) {
        for (int i = 0; i < endpoints.size(); i++) {
            for (int attempt = 0; attempt < count; attempt++) {
                policy.record(endpoints.get(i), i >= failing);
            }
        }
    }

    @Test
    void testFailingEndpointIsEjectedAfterEnoughAttemptsAndReturns() {
        recordAttempts(4, 1);
        assertEquals(Set.of(), policy.ejected(endpoints));
        recordAttempts(1, 1);
        assertEquals(Set.of(endpoints.get(0)), policy.ejected(endpoints));
        assertEquals(List.of(new EndpointEjected("text-0", 5, 5, 5000)), events);
        clock.advanceMillis(5000);
        assertEquals(Set.of(), policy.ejected(endpoints));
    }

    @Test
    void testConsecutiveEjectionLastsLonger() {
        recordAttempts(5, 1);
        policy.ejected(endpoints);
        clock.advanceMillis(5000);
        recordAttempts(5, 1);
        policy.ejected(endpoints);
        clock.advanceMillis(9999);
        assertEquals(1, policy.ejected(endpoints).size());
    }

    @Test
    void testEjectedShareIsLimited() {
        recordAttempts(10, 5);
        assertEquals(3, policy.ejected(endpoints).size());
    }

    @Test
    void testFaultOfAllEndpointsEjectsNone() {
        recordAttempts(10, 12);
        assertTrue(policy.ejected(endpoints).isEmpty());
    }
}

package org.jasminehub.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class FleetQueuesTest {
    private static final int SERVICE = 17;

    private final ManualClock clock = new ManualClock(10_000);
    private final FleetQueues fleet = new FleetQueues(clock);

    private static QueueStatus status(int waiting, int ended) {
        return QueueStatus.parse(List.of(0, waiting), List.of(ended), List.of(), ended)
                .orElseThrow();
    }

    @Test
    void testStatusesOfPeersAreAddedUp() {
        fleet.onPeerStatus("a", Map.of(SERVICE, status(2, 5)));
        fleet.onPeerStatus("b", Map.of(SERVICE, status(3, 4)));

        assertEquals(status(5, 9), fleet.peers(SERVICE));
        assertEquals(2, fleet.peerCount());
    }

    /** Guards against counts that grow with each status. */
    @Test
    void testNewerStatusReplacesOlderOne() {
        fleet.onPeerStatus("a", Map.of(SERVICE, status(2, 5)));
        fleet.onPeerStatus("a", Map.of(SERVICE, status(1, 6)));

        assertEquals(status(1, 6), fleet.peers(SERVICE));
    }

    @Test
    void testServiceThatIsLeftOutHasNoCalls() {
        fleet.onPeerStatus("a", Map.of(SERVICE, status(2, 5)));
        fleet.onPeerStatus("a", Map.of());

        assertEquals(QueueStatus.IDLE, fleet.peers(SERVICE));
    }

    /** Guards against slots that are left to the calls of an instance that is lost. */
    @Test
    void testStatusCountsForASecond() {
        fleet.onPeerStatus("a", Map.of(SERVICE, status(2, 5)));
        clock.advanceMillis(600);
        fleet.onPeerStatus("b", Map.of(SERVICE, status(3, 4)));
        clock.advanceMillis(400);
        assertEquals(status(5, 9), fleet.peers(SERVICE));

        clock.advanceMillis(1);

        assertEquals(status(3, 4), fleet.peers(SERVICE));
        assertEquals(1, fleet.peerCount());
    }
}

package org.jasminehub.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jasminehub.core.identity.InstanceId;
import org.junit.jupiter.api.Test;

final class HeartbeatRingTest {
    private final HeartbeatRing ring = new HeartbeatRing(6);

    private static List<InstanceId> ids(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new InstanceId("entry-" + number))
                .toList();
    }

    @Test
    void testEachInstanceIsWatchedByAsManyAsItWatches() {
        List<InstanceId> all = ids(2_300);
        Map<InstanceId, Long> watchers = all.stream()
                .flatMap(id -> ring.watchedBy(id, all).stream())
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        assertEquals(2_300, watchers.size());
        assertTrue(watchers.values().stream().allMatch(count -> count == 6));
    }

    @Test
    void testFactsReachAllInstancesInALogarithmicNumberOfHops() {
        List<InstanceId> all = ids(500);
        Map<InstanceId, List<InstanceId>> watched =
                all.stream().collect(Collectors.toMap(Function.identity(), id -> ring.watchedBy(id, all)));
        Set<InstanceId> reached = new HashSet<>(Set.of(all.get(0)));
        int hops = 0;
        while (reached.size() < all.size()) {
            reached.addAll(
                    reached.stream().flatMap(id -> watched.get(id).stream()).toList());
            hops++;
        }
        assertTrue(hops <= 2 * Math.ceil(Math.log(all.size()) / Math.log(2)), "hops: " + hops);
    }

    @Test
    void testInstanceInASmallSystemWatchesAllOthers() {
        List<InstanceId> all = ids(4);
        List<InstanceId> watched = ring.watchedBy(all.get(1), all);
        assertEquals(3, watched.stream().distinct().count());
        assertFalse(watched.contains(all.get(1)));
    }

    @Test
    void testInstanceThatIsNotListedYetWatchesOthers() {
        assertEquals(6, ring.watchedBy(new InstanceId("entry-new"), ids(20)).size());
    }
}

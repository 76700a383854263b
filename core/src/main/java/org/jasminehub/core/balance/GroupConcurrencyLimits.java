package org.jasminehub.core.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.time.Clock;

/**
 * Limits the concurrent calls at the engines of a service, group by group.
 *
 * <p>Load pattern: a service has several groups, and demand shifts, an engine is slow or a step is held in one of them.
 * Its streams pause for long, those of the others do not. A limit from the mean of all pauses would keep calls from the
 * groups that have room, and send too many to the one that has none.
 *
 * <p>Not thread-safe.
 */
public final class GroupConcurrencyLimits {
    private static final String NO_GROUP = "";

    private final Clock clock;
    private final Map<String, StreamConcurrencyLimit> limitByGroup = new HashMap<>();

    /** Creates limits without measurements. */
    public GroupConcurrencyLimits(Clock clock) {
        this.clock = clock;
    }

    /** Records the time between two events of a stream at {@code endpoint}. */
    public void onEventGap(EndpointRecord endpoint, long gapMillis) {
        limitOf(groupOf(endpoint)).onEventGap(gapMillis);
    }

    /**
     * Returns how many calls may be open per slot at each of {@code endpoints}, at most 1.
     *
     * @param maxGapMillis the longest allowed gap between two events, 0 for no bound
     * @param openCalls the number of currently open calls at an endpoint
     */
    public Map<EndpointId, Double> callsPerSlot(
            EngineProfile engine,
            long maxGapMillis,
            List<EndpointRecord> endpoints,
            ToIntFunction<EndpointId> openCalls) {
        Map<String, Occupancy> occupancyByGroup = new HashMap<>();
        for (EndpointRecord endpoint : endpoints) {
            occupancyByGroup
                    .computeIfAbsent(groupOf(endpoint), group -> new Occupancy())
                    .add(openCalls.applyAsInt(endpoint.id()), endpoint.slots());
        }
        Map<String, Double> callsPerSlotByGroup = new HashMap<>();
        occupancyByGroup.forEach((group, occupancy) -> callsPerSlotByGroup.put(
                group, limitOf(group).callsPerSlot(engine, maxGapMillis, occupancy.openPerSlot())));
        Map<EndpointId, Double> result = new HashMap<>();
        endpoints.forEach(
                endpoint -> result.put(endpoint.id(), callsPerSlotByGroup.getOrDefault(groupOf(endpoint), 1.0)));
        return result;
    }

    private StreamConcurrencyLimit limitOf(String group) {
        return limitByGroup.computeIfAbsent(group, name -> new StreamConcurrencyLimit(clock));
    }

    private static String groupOf(EndpointRecord endpoint) {
        return endpoint.seat() == null ? NO_GROUP : endpoint.seat().group();
    }

    /** The open calls and the slots of a group. */
    private static final class Occupancy {
        private int open;
        private int slots;

        void add(int openCalls, int slotCount) {
            open += openCalls;
            slots += slotCount;
        }

        double openPerSlot() {
            return (double) open / Math.max(1, slots);
        }
    }
}

package org.jasminehub.core.overload;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.time.Clock;

/**
 * Tells which calls exceed the equal share of their workspace while a priority gets too few slots.
 *
 * <p>Load pattern: one workspace sends half of all calls while capacity is short. In a large fleet an instance has a
 * single call in its queue, so the order of its queue cannot favour the other workspaces. Instead, each instance divides
 * the share of calls that the fleet serves among the workspaces that it sees: every workspace gets what it asks for up to
 * an equal bound, and of a workspace above the bound the calls beyond it are set back.
 *
 * <p>Calls of a workspace spread over all instances, so the calls seen here are a sample of those of the fleet.
 *
 * <p>Not thread-safe.
 */
final class WorkspaceShares {
    /** Time in which a call loses half of its weight; a large fleet gives an instance one or two calls a second. */
    private static final double HALF_LIFE_MILLIS = 5_000;

    /** A bound for memory; the workspaces whose last calls are the oldest are forgotten first. */
    static final int MAX_WORKSPACES = 1_024;

    /** Share of served calls above which all are treated alike: figures of a second vary by about as much. */
    private static final double ENOUGH_SERVED_SHARE = 0.97;

    /**
     * Standard deviations of a sample of calls by which a workspace must exceed the mean. Without this bound, workspaces
     * with equal numbers of calls would be set back by chance, and all calls of a priority that gets no slots.
     */
    private static final double DEVIATIONS = 2;

    private final Clock clock;
    private final Map<Key, Calls> callsByWorkspace = new LinkedHashMap<>();

    WorkspaceShares(Clock clock) {
        this.clock = clock;
    }

    /** Records the first attempt of a caller. */
    void onFirstAttempt(int priority, String workspace) {
        long nowMillis = clock.monotonicMillis();
        Key key = new Key(priority, workspace);
        Calls previous = callsByWorkspace.remove(key);
        callsByWorkspace.put(key, new Calls(1 + (previous == null ? 0 : previous.weightAt(nowMillis)), nowMillis));
        if (callsByWorkspace.size() > MAX_WORKSPACES) {
            callsByWorkspace.remove(callsByWorkspace.keySet().iterator().next());
        }
    }

    /** Returns the share of the calls of a workspace that is within its equal share of what the fleet serves. */
    double shareWithin(int priority, String workspace, QueueStatus fleet) {
        double started = fleet.started().get(priority);
        double refused = fleet.refused().get(priority);
        double servedShare = started + refused == 0 ? 1 : started / (started + refused);
        Calls own = callsByWorkspace.get(new Key(priority, workspace));
        if (servedShare >= ENOUGH_SERVED_SHARE || own == null) {
            return 1;
        }
        long nowMillis = clock.monotonicMillis();
        List<Double> weights = callsByWorkspace.entrySet().stream()
                .filter(entry -> entry.getKey().priority() == priority)
                .map(entry -> entry.getValue().weightAt(nowMillis))
                .sorted()
                .toList();
        double total = weights.stream().mapToDouble(each -> each).sum();
        double mean = total / weights.size();
        if (own.weightAt(nowMillis) <= mean + DEVIATIONS * Math.sqrt(mean)) {
            return 1;
        }
        double left = servedShare * total;
        double bound = 0;
        for (int index = 0; index < weights.size(); index++) {
            bound = left / (weights.size() - index);
            if (weights.get(index) >= bound) {
                break;
            }
            left -= weights.get(index);
        }
        return Math.min(1, bound / own.weightAt(nowMillis));
    }

    int size() {
        return callsByWorkspace.size();
    }

    private record Key(int priority, String workspace) {}

    private record Calls(double weight, long updatedMillis) {
        double weightAt(long nowMillis) {
            return weight * Math.pow(0.5, (nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
        }
    }
}

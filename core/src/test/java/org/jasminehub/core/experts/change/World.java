package org.jasminehub.core.experts.change;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * A modelled group with its log and up to two holders of the lease.
 *
 * @param step the step that the group runs
 * @param lanes the ranks
 * @param holders those who hold or think they hold the lease, numbered from 1
 * @param log the record in force; its fencing number may be older than the newest lease
 * @param appends records whose append was sent and may take effect at any time
 * @param seen records that took effect, or were void, and that their writer may read at any time
 * @param restartsLeft how many more ranks may restart
 * @param changesLeft how many more changes may be begun
 */
record World(
        int step,
        List<Lane> lanes,
        List<ChangeState> holders,
        MapRecord log,
        Set<MapRecord> appends,
        Set<MapRecord> seen,
        int restartsLeft,
        int changesLeft) {

    World withStep(int newStep, List<Lane> newLanes) {
        return new World(newStep, newLanes, holders, log, appends, seen, restartsLeft, changesLeft);
    }

    World withLane(int index, UnaryOperator<Lane> change) {
        List<Lane> changed = new ArrayList<>(lanes);
        changed.set(index, change.apply(changed.get(index)));
        return withStep(step, List.copyOf(changed));
    }

    World withHolder(int index, ChangeState holder) {
        List<ChangeState> changed = new ArrayList<>(holders);
        if (index == changed.size()) {
            changed.add(holder);
        } else {
            changed.set(index, holder);
        }
        return new World(step, lanes, List.copyOf(changed), log, appends, seen, restartsLeft, changesLeft);
    }

    World withLog(MapRecord newLog, Set<MapRecord> newAppends, Set<MapRecord> newSeen) {
        return new World(step, lanes, holders, newLog, newAppends, newSeen, restartsLeft, changesLeft);
    }

    World withBudget(int restarts, int changes) {
        return new World(step, lanes, holders, log, appends, seen, restarts, changes);
    }

    boolean isMixed() {
        return lanes.stream()
                        .filter(Lane::begun)
                        .map(lane -> lane.rank().mapVersion())
                        .distinct()
                        .count()
                > 1;
    }

    boolean isWhole() {
        return lanes.stream()
                .allMatch(lane -> lane.rank().runs(lanes.get(0).rank().mapVersion()));
    }
}

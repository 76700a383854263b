package org.jasminehub.core.experts.change;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * The state of a modelled group with its log and up to two lease holders.
 *
 * @param step the current step of the group
 * @param nodes the ranks with their messages in flight
 * @param holders the current lease holder and earlier holders that may still act as such, numbered from 1
 * @param log the newest valid record; its fencing number may be older than the newest lease
 * @param appends the records whose append was requested and may take effect at any time
 * @param unread the appended records that their writer has not read from the log yet
 * @param restartsLeft the number of restarts that may still happen
 * @param changesLeft the number of changes that may still be started
 */
record GroupState(
        int step,
        List<RankNode> nodes,
        List<ChangeState> holders,
        MapRecord log,
        Set<MapRecord> appends,
        Set<MapRecord> unread,
        int restartsLeft,
        int changesLeft) {

    GroupState withStep(int newStep, List<RankNode> newNodes) {
        return new GroupState(newStep, newNodes, holders, log, appends, unread, restartsLeft, changesLeft);
    }

    GroupState withNode(int index, UnaryOperator<RankNode> change) {
        List<RankNode> changed = new ArrayList<>(nodes);
        changed.set(index, change.apply(changed.get(index)));
        return withStep(step, List.copyOf(changed));
    }

    GroupState withHolder(int index, ChangeState holder) {
        List<ChangeState> changed = new ArrayList<>(holders);
        if (index == changed.size()) {
            changed.add(holder);
        } else {
            changed.set(index, holder);
        }
        return new GroupState(step, nodes, List.copyOf(changed), log, appends, unread, restartsLeft, changesLeft);
    }

    GroupState withLog(MapRecord newLog, Set<MapRecord> newAppends, Set<MapRecord> newUnread) {
        return new GroupState(step, nodes, holders, newLog, newAppends, newUnread, restartsLeft, changesLeft);
    }

    GroupState withBudget(int restarts, int changes) {
        return new GroupState(step, nodes, holders, log, appends, unread, restarts, changes);
    }

    boolean hasMixedMaps() {
        return nodes.stream()
                        .filter(RankNode::begun)
                        .map(node -> node.rank().mapVersion())
                        .distinct()
                        .count()
                > 1;
    }

    boolean isSettled() {
        return nodes.stream()
                .allMatch(node -> node.rank().runs(nodes.get(0).rank().mapVersion()));
    }
}

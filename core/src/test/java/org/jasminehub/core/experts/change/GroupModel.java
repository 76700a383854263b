package org.jasminehub.core.experts.change;

import com.google.common.collect.Interner;
import com.google.common.collect.Interners;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** Computes all possible successors of a state of a modelled group. Messages may be lost, repeated and reordered. */
final class GroupModel {
    private static final long FIRST_MAP = 1;
    private static final long SWITCH_STEP = 2;
    private static final MapRecord NO_RECORD = new MapRecord(MapRecord.Kind.ROSTER, 0, 0, List.of());

    private final Interner<RankNode> interned = Interners.newStrongInterner();
    private final Rules rules;
    private final int lastStep;
    private final int maxHolders;
    private final ChangeCoordinator coordinator = new ChangeCoordinator(SWITCH_STEP);

    GroupModel(Rules rules, int lastStep, int maxHolders) {
        this.rules = rules;
        this.lastStep = lastStep;
        this.maxHolders = maxHolders;
    }

    GroupState initial(int ranks, int restarts, int firstStep) {
        MapRecord log = new MapRecord(
                MapRecord.Kind.ROSTER,
                0,
                FIRST_MAP,
                IntStream.range(0, ranks).mapToObj(i -> 1L).toList());
        List<RankNode> nodes = IntStream.range(0, ranks)
                .mapToObj(i -> RankNode.started(1))
                .map(node -> node.withRank(node.rank().withMap(RankMode.RUNNING, FIRST_MAP, FIRST_MAP, 0), false))
                .toList();
        return takeOver(new GroupState(firstStep, nodes, List.of(), log, Set.of(), Set.of(), restarts, 1));
    }

    List<GroupState> successors(GroupState group) {
        List<GroupState> next = new ArrayList<>();
        for (int node = 0; node < group.nodes().size(); node++) {
            addNode(group, node, next);
        }
        for (int holder = 0; holder < group.holders().size(); holder++) {
            addHolder(group, holder, next);
        }
        for (MapRecord record : group.appends()) {
            next.add(append(group, record));
        }
        if (group.holders().size() < maxHolders) {
            next.add(takeOver(group));
        }
        return next;
    }

    private void addNode(GroupState group, int index, List<GroupState> next) {
        RankNode node = group.nodes().get(index);
        begin(group, index).ifPresent(next::add);
        node.orders().forEach(order -> next.add(deliver(group, index, order)));
        node.replies().forEach(reply -> next.add(report(group, index, reply)));
        if (group.restartsLeft() > 0) {
            next.add(restart(group, index));
        }
    }

    private void addHolder(GroupState group, int index, List<GroupState> next) {
        ChangeState holder = group.holders().get(index);
        next.add(update(group, index, coordinator.onTimeout(holder)));
        if (holder.phase() == ChangePhase.IDLE && group.changesLeft() > 0) {
            GroupState begun = group.withBudget(group.restartsLeft(), group.changesLeft() - 1);
            next.add(update(begun, index, coordinator.begin(holder, nextVersion(holder))));
        }
        for (MapRecord record : group.unread()) {
            if (record.fencingNumber() == holder.fencingNumber()) {
                next.add(readRecord(group, record));
            }
        }
    }

    private static long nextVersion(ChangeState holder) {
        return holder.fencingNumber() * 10 + holder.mapVersion() % 10 + 1;
    }

    /** Makes a rank begin the group's current step; the step is complete once all ranks have begun it. */
    Optional<GroupState> begin(GroupState group, int index) {
        return group.step() > lastStep ? Optional.empty() : beginUnbounded(group, index);
    }

    private Optional<GroupState> beginUnbounded(GroupState group, int index) {
        RankNode node = group.nodes().get(index);
        if (node.begun()) {
            return Optional.empty();
        }
        return rules.begin().begin(node.rank(), group.step()).map(rank -> {
            GroupState begun = group.withNode(index, old -> old.withRank(rank, true));
            boolean complete = begun.nodes().stream().allMatch(RankNode::begun) && !begun.hasMixedMaps();
            return complete ? completed(begun) : pruneNode(begun, index);
        });
    }

    private GroupState completed(GroupState group) {
        List<RankNode> nodes = group.nodes().stream()
                .map(node -> node.withRank(node.rank(), false))
                .toList();
        return prune(group.withStep(group.step() + 1, nodes));
    }

    GroupState deliver(GroupState group, int index, RankOrder order) {
        RankNode node = group.nodes().get(index);
        RankReply reply = rules.apply().apply(node.rank(), order, presentStep(group, node));
        return prune(group.withNode(
                index, old -> old.withRank(reply.state(), old.begun()).withReply(reply)));
    }

    /** Returns the last step that the rank has begun; a step that has not begun can still be stopped. */
    private static long presentStep(GroupState group, RankNode node) {
        return node.begun() ? group.step() : group.step() - 1;
    }

    GroupState report(GroupState group, int index, RankReply reply) {
        int holder = (int) reply.fencingNumber() - 1;
        ChangeState state = group.holders().get(holder);
        return update(
                group, holder, coordinator.onReply(state, index, rules.report().read(reply)));
    }

    GroupState restart(GroupState group, int index) {
        long incarnation = group.nodes().get(index).rank().incarnation() + 1;
        GroupState restarted = group.withBudget(group.restartsLeft() - 1, group.changesLeft());
        return prune(restarted.withNode(
                index, old -> RankNode.started(incarnation).withMessages(old.orders(), old.replies())));
    }

    /**
     * Returns the surveys of all holders that have not been fenced; for a new incarnation, orders to the old one have
     * no other effect than a survey.
     */
    private static Set<RankOrder> surveys(GroupState group) {
        return group.holders().stream()
                .filter(holder -> holder.phase() != ChangePhase.FENCED)
                .map(holder -> new RankOrder.Survey(holder.fencingNumber()))
                .collect(Collectors.toSet());
    }

    GroupState append(GroupState group, MapRecord record) {
        boolean valid = !rules.ignoresStaleRecords()
                || record.fencingNumber() == group.holders().size();
        Set<MapRecord> appends = new HashSet<>(group.appends());
        appends.remove(record);
        return group.withLog(
                valid ? record : group.log(), appends, valid ? RankNode.plus(group.unread(), record) : group.unread());
    }

    GroupState readRecord(GroupState group, MapRecord record) {
        int holder = (int) record.fencingNumber() - 1;
        Set<MapRecord> unread = new HashSet<>(group.unread());
        unread.remove(record);
        GroupState read = group.withLog(group.log(), group.appends(), unread);
        return update(read, holder, coordinator.onRecord(read.holders().get(holder), record, true));
    }

    GroupState takeOver(GroupState group) {
        int number = group.holders().size() + 1;
        return update(
                group, number - 1, coordinator.takeOver(number, group.nodes().size(), group.log()));
    }

    /**
     * Returns the state after a round in which the newest holder reaches every rank, no rank restarts, and every rank
     * that may begin the step does so.
     */
    GroupState completeRound(GroupState group, boolean logAnswers) {
        GroupState next = orderRound(group, logAnswers);
        for (int index = 0; index < group.nodes().size(); index++) {
            next = beginUnbounded(next, index).orElse(next);
        }
        return next;
    }

    /** Returns the state after the newest holder has received replies to its current orders and record. */
    GroupState orderRound(GroupState group, boolean logAnswers) {
        int holder = group.holders().size() - 1;
        GroupState next = group;
        for (int index = 0; index < group.nodes().size(); index++) {
            Optional<RankOrder> order = coordinator.order(next.holders().get(holder), index);
            if (order.isPresent()) {
                next = exchange(next, index, order.get());
            }
        }
        Optional<MapRecord> record = coordinator.record(next.holders().get(holder));
        if (record.isPresent() && logAnswers) {
            next = readRecord(append(next, record.get()), record.get());
        }
        if (!logAnswers) {
            next = update(next, holder, coordinator.onTimeout(next.holders().get(holder)));
        }
        return next;
    }

    private GroupState exchange(GroupState group, int index, RankOrder order) {
        RankNode node = group.nodes().get(index);
        RankReply reply = rules.apply().apply(node.rank(), order, presentStep(group, node));
        return report(deliver(group, index, order), index, reply);
    }

    /**
     * Stores the new state of a holder, and adds the orders and the record that follow from it to the messages in
     * flight.
     */
    private GroupState update(GroupState group, int index, ChangeState holder) {
        if (index < group.holders().size() && group.holders().get(index).equals(holder)) {
            return prune(group);
        }
        GroupState changed = group.withHolder(index, holder.phase() == ChangePhase.FENCED ? fenced(holder) : holder);
        for (int node = 0; node < changed.nodes().size(); node++) {
            Optional<RankOrder> order = coordinator.order(holder, node);
            if (order.isPresent()) {
                changed = changed.withNode(node, old -> old.withOrder(order.get()));
            }
        }
        Optional<MapRecord> record = coordinator.record(holder);
        if (record.isPresent() && !changed.unread().contains(record.get())) {
            changed = changed.withLog(changed.log(), RankNode.plus(changed.appends(), record.get()), changed.unread());
        }
        return prune(changed);
    }

    private static ChangeState fenced(ChangeState holder) {
        List<@Nullable RankState> unreported =
                Collections.nCopies(holder.ranks().size(), null);
        return new ChangeState(holder.fencingNumber(), ChangePhase.FENCED, 0, 0, 0, 0, unreported, null);
    }

    private GroupState pruneNode(GroupState group, int index) {
        RankNode pruned = prune(group, index);
        return group.withNode(index, old -> pruned);
    }

    /** Removes messages and records that have no effect any more, whenever they arrive. */
    private GroupState prune(GroupState group) {
        GroupState remaining = dropStaleRecords(group);
        List<RankNode> nodes = new ArrayList<>();
        for (int index = 0; index < group.nodes().size(); index++) {
            nodes.add(prune(remaining, index));
        }
        return remaining.withStep(group.step(), List.copyOf(nodes));
    }

    /**
     * Removes the log and void records once the second holder has taken over, because no later holder reads the log.
     */
    private GroupState dropStaleRecords(GroupState group) {
        if (group.holders().size() < 2) {
            return group;
        }
        boolean firstFenced = group.holders().get(0).phase() == ChangePhase.FENCED;
        Set<MapRecord> appends = group.appends().stream()
                .filter(record -> record.fencingNumber() > 1 || !rules.ignoresStaleRecords() && !firstFenced)
                .collect(Collectors.toSet());
        Set<MapRecord> unread = group.unread().stream()
                .filter(record -> record.fencingNumber() > 1 || !firstFenced)
                .collect(Collectors.toSet());
        return group.withLog(NO_RECORD, appends, unread);
    }

    private RankNode prune(GroupState group, int index) {
        RankNode node = group.nodes().get(index);
        Set<RankOrder> orders = new HashSet<>();
        for (RankOrder order : node.orders()) {
            if (!hasNoEffect(group, node, order)) {
                orders.add(order);
            }
        }
        Set<RankReply> replies = new HashSet<>();
        addIfEffective(group, index, currentReply(node.rank()), replies);
        node.replies().forEach(reply -> addIfEffective(group, index, reply, replies));
        return interned.intern(node.withMessages(orders, replies));
    }

    /**
     * Returns a reply with the current state of the rank. A holder may survey a rank at any time, so every state that a
     * rank passes through may be reported.
     */
    private static RankReply currentReply(RankState rank) {
        return new RankReply(rank.fencingNumber(), OrderCode.ACCEPTED, rank, 0);
    }

    private void addIfEffective(GroupState group, int index, RankReply reply, Set<RankReply> replies) {
        if (reply.fencingNumber() > 0 && !hasNoEffect(group, index, normalized(group, reply))) {
            replies.add(normalized(group, reply));
        }
    }

    /**
     * Returns whether the order has no effect any more. An order that raises the rank's fencing number always has an
     * effect.
     */
    private boolean hasNoEffect(GroupState group, RankNode node, RankOrder order) {
        RankReply reply = rules.apply().apply(node.rank(), order, presentStep(group, node));
        if (order instanceof RankOrder.Survey
                || order.fencingNumber() > node.rank().fencingNumber()) {
            return reply.code() == OrderCode.FENCED;
        }
        boolean isSpent = order instanceof RankOrder.Go go && node.rank().mapVersion() >= go.nextVersion()
                || order instanceof RankOrder.Abort abort && node.rank().endedVersion() >= abort.nextVersion()
                || order instanceof RankOrder.Join && node.rank().isJoined()
                || order instanceof RankOrder.Load;
        return switch (reply.code()) {
            case FENCED, ENDED -> true;
            default -> isSpent;
        };
    }

    /**
     * Returns the reply without details that do not affect the holder. Its code matters only if it is a refusal, and
     * only until the holder has ended the change.
     */
    private RankReply normalized(GroupState group, RankReply reply) {
        ChangePhase phase = holder(group, reply).phase();
        boolean isRefusal = ChangeCoordinator.isRefusal(reply.code());
        boolean isRelevant = isRefusal && phase.compareTo(ChangePhase.ARMING) <= 0;
        return new RankReply(
                reply.fencingNumber(), isRelevant ? OrderCode.STEP_PASSED : OrderCode.ACCEPTED, reply.state(), 0);
    }

    private boolean hasNoEffect(GroupState group, int index, RankReply reply) {
        ChangeState holder = holder(group, reply);
        if (holder.phase() == ChangePhase.FENCED) {
            return true;
        }
        @Nullable RankState known = holder.ranks().get(index);
        RankState state = rules.report().read(reply).state();
        boolean old = known != null && (known.isNewerThan(state) || known.equals(state));
        return old && reply.code() == OrderCode.ACCEPTED;
    }

    private static ChangeState holder(GroupState group, RankReply reply) {
        return group.holders().get((int) reply.fencingNumber() - 1);
    }
}

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

/** Lists everything that may happen next in a modelled group, with loss, repeat and reorder of every message. */
final class GroupModel {
    private static final long FIRST_MAP = 1;
    private static final long SWITCH_STEP = 2;
    private static final MapRecord NO_RECORD = new MapRecord(MapRecord.Kind.ROSTER, 0, 0, List.of());

    private final Interner<Lane> interned = Interners.newStrongInterner();
    private final Rules rules;
    private final int lastStep;
    private final int maxHolders;
    private final ChangeCoordinator coordinator = new ChangeCoordinator(SWITCH_STEP);

    GroupModel(Rules rules, int lastStep, int maxHolders) {
        this.rules = rules;
        this.lastStep = lastStep;
        this.maxHolders = maxHolders;
    }

    World initial(int ranks, int restarts, int firstStep) {
        MapRecord log = new MapRecord(
                MapRecord.Kind.ROSTER,
                0,
                FIRST_MAP,
                IntStream.range(0, ranks).mapToObj(i -> 1L).toList());
        List<Lane> lanes = IntStream.range(0, ranks)
                .mapToObj(i -> Lane.started(1))
                .map(lane -> lane.withRank(lane.rank().withMap(RankMode.RUNNING, FIRST_MAP, FIRST_MAP, 0), false))
                .toList();
        return takeOver(new World(firstStep, lanes, List.of(), log, Set.of(), Set.of(), restarts, 1));
    }

    List<World> successors(World world) {
        List<World> next = new ArrayList<>();
        for (int lane = 0; lane < world.lanes().size(); lane++) {
            addLane(world, lane, next);
        }
        for (int holder = 0; holder < world.holders().size(); holder++) {
            addHolder(world, holder, next);
        }
        for (MapRecord record : world.appends()) {
            next.add(append(world, record));
        }
        if (world.holders().size() < maxHolders) {
            next.add(takeOver(world));
        }
        return next;
    }

    private void addLane(World world, int index, List<World> next) {
        Lane lane = world.lanes().get(index);
        begin(world, index).ifPresent(next::add);
        lane.orders().forEach(order -> next.add(deliver(world, index, order)));
        lane.replies().forEach(reply -> next.add(report(world, index, reply)));
        if (world.restartsLeft() > 0) {
            next.add(restart(world, index));
        }
    }

    private void addHolder(World world, int index, List<World> next) {
        ChangeState holder = world.holders().get(index);
        next.add(update(world, index, coordinator.timedOut(holder)));
        if (holder.phase() == ChangePhase.IDLE && world.changesLeft() > 0) {
            World begun = world.withBudget(world.restartsLeft(), world.changesLeft() - 1);
            next.add(update(begun, index, coordinator.begin(holder, nextVersion(holder))));
        }
        for (MapRecord record : world.seen()) {
            if (record.fencingNumber() == holder.fencingNumber()) {
                next.add(seen(world, record));
            }
        }
    }

    private static long nextVersion(ChangeState holder) {
        return holder.fencingNumber() * 10 + holder.mapVersion() % 10 + 1;
    }

    /** Lets a lane begin the group's step; the step is complete once all have begun it. */
    Optional<World> begin(World world, int index) {
        return world.step() > lastStep ? Optional.empty() : beginUnbounded(world, index);
    }

    private Optional<World> beginUnbounded(World world, int index) {
        Lane lane = world.lanes().get(index);
        if (lane.begun()) {
            return Optional.empty();
        }
        return rules.begin().begin(lane.rank(), world.step()).map(rank -> {
            World begun = world.withLane(index, old -> old.withRank(rank, true));
            boolean complete = begun.lanes().stream().allMatch(Lane::begun) && !begun.isMixed();
            return complete ? completed(begun) : pruneLane(begun, index);
        });
    }

    private World completed(World world) {
        List<Lane> lanes = world.lanes().stream()
                .map(lane -> lane.withRank(lane.rank(), false))
                .toList();
        return prune(world.withStep(world.step() + 1, lanes));
    }

    World deliver(World world, int index, RankOrder order) {
        Lane lane = world.lanes().get(index);
        RankReply reply = rules.apply().apply(lane.rank(), order, presentStep(world, lane));
        return prune(world.withLane(
                index, old -> old.withRank(reply.state(), old.begun()).withReply(reply)));
    }

    /** A step that has not begun can still be stopped. */
    private static long presentStep(World world, Lane lane) {
        return lane.begun() ? world.step() : world.step() - 1;
    }

    World report(World world, int index, RankReply reply) {
        int holder = (int) reply.fencingNumber() - 1;
        ChangeState state = world.holders().get(holder);
        return update(
                world, holder, coordinator.replied(state, index, rules.report().read(reply)));
    }

    World restart(World world, int index) {
        long incarnation = world.lanes().get(index).rank().incarnation() + 1;
        World spent = world.withBudget(world.restartsLeft() - 1, world.changesLeft());
        return prune(spent.withLane(index, old -> Lane.started(incarnation).withMessages(old.orders(), old.replies())));
    }

    /** A holder that still gives orders surveys the new incarnation; orders to the old one do no more than that. */
    private static Set<RankOrder> surveys(World world) {
        return world.holders().stream()
                .filter(holder -> holder.phase() != ChangePhase.FENCED)
                .map(holder -> new RankOrder.Survey(holder.fencingNumber()))
                .collect(Collectors.toSet());
    }

    World append(World world, MapRecord record) {
        boolean valid = !rules.voidsStaleRecords()
                || record.fencingNumber() == world.holders().size();
        Set<MapRecord> appends = new HashSet<>(world.appends());
        appends.remove(record);
        return world.withLog(
                valid ? record : world.log(), appends, valid ? Lane.plus(world.seen(), record) : world.seen());
    }

    World seen(World world, MapRecord record) {
        int holder = (int) record.fencingNumber() - 1;
        Set<MapRecord> left = new HashSet<>(world.seen());
        left.remove(record);
        World read = world.withLog(world.log(), world.appends(), left);
        return update(read, holder, coordinator.recorded(read.holders().get(holder), record, true));
    }

    World takeOver(World world) {
        int number = world.holders().size() + 1;
        return update(
                world, number - 1, coordinator.takeOver(number, world.lanes().size(), world.log()));
    }

    /** Returns the state after one round in which the newest holder reaches every rank and nothing restarts. */
    World fairRound(World world, boolean logAnswers) {
        World next = orderRound(world, logAnswers);
        for (int index = 0; index < world.lanes().size(); index++) {
            next = beginUnbounded(next, index).orElse(next);
        }
        return next;
    }

    /** Returns the state after the newest holder's present orders and record have been answered. */
    World orderRound(World world, boolean logAnswers) {
        int holder = world.holders().size() - 1;
        World next = world;
        for (int index = 0; index < world.lanes().size(); index++) {
            Optional<RankOrder> order = coordinator.order(next.holders().get(holder), index);
            if (order.isPresent()) {
                next = exchange(next, index, order.get());
            }
        }
        Optional<MapRecord> record = coordinator.record(next.holders().get(holder));
        if (record.isPresent() && logAnswers) {
            next = seen(append(next, record.get()), record.get());
        }
        if (!logAnswers) {
            next = update(next, holder, coordinator.timedOut(next.holders().get(holder)));
        }
        return next;
    }

    private World exchange(World world, int index, RankOrder order) {
        Lane lane = world.lanes().get(index);
        RankReply reply = rules.apply().apply(lane.rank(), order, presentStep(world, lane));
        return report(deliver(world, index, order), index, reply);
    }

    /** Puts a holder's new state in force and everything that it sends because of it on the way. */
    private World update(World world, int index, ChangeState holder) {
        if (index < world.holders().size() && world.holders().get(index).equals(holder)) {
            return prune(world);
        }
        World changed = world.withHolder(index, holder.phase() == ChangePhase.FENCED ? silent(holder) : holder);
        for (int lane = 0; lane < changed.lanes().size(); lane++) {
            Optional<RankOrder> order = coordinator.order(holder, lane);
            if (order.isPresent()) {
                changed = changed.withLane(lane, old -> old.withOrder(order.get()));
            }
        }
        Optional<MapRecord> record = coordinator.record(holder);
        if (record.isPresent() && !changed.seen().contains(record.get())) {
            changed = changed.withLog(changed.log(), Lane.plus(changed.appends(), record.get()), changed.seen());
        }
        return prune(changed);
    }

    private static ChangeState silent(ChangeState holder) {
        List<@Nullable RankState> unheard = Collections.nCopies(holder.ranks().size(), null);
        return new ChangeState(holder.fencingNumber(), ChangePhase.FENCED, 0, 0, 0, 0, unheard, null);
    }

    private World pruneLane(World world, int index) {
        Lane pruned = prune(world, index);
        return world.withLane(index, old -> pruned);
    }

    /** Drops what can't change anything any more, whenever it arrives. */
    private World prune(World world) {
        World forgotten = forget(world);
        List<Lane> lanes = new ArrayList<>();
        for (int index = 0; index < world.lanes().size(); index++) {
            lanes.add(prune(forgotten, index));
        }
        return forgotten.withStep(world.step(), List.copyOf(lanes));
    }

    /** Nobody reads the log again after the second holder did, and void records are of no use to anybody. */
    private World forget(World world) {
        if (world.holders().size() < 2) {
            return world;
        }
        boolean firstFenced = world.holders().get(0).phase() == ChangePhase.FENCED;
        Set<MapRecord> appends = world.appends().stream()
                .filter(record -> record.fencingNumber() > 1 || !rules.voidsStaleRecords() && !firstFenced)
                .collect(Collectors.toSet());
        Set<MapRecord> seen = world.seen().stream()
                .filter(record -> record.fencingNumber() > 1 || !firstFenced)
                .collect(Collectors.toSet());
        return world.withLog(NO_RECORD, appends, seen);
    }

    private Lane prune(World world, int index) {
        Lane lane = world.lanes().get(index);
        Set<RankOrder> orders = new HashSet<>();
        for (RankOrder order : lane.orders()) {
            if (!isDead(world, lane, order)) {
                orders.add(order);
            }
        }
        Set<RankReply> replies = new HashSet<>();
        addAlive(world, index, currentReply(lane.rank()), replies);
        lane.replies().forEach(reply -> addAlive(world, index, reply, replies));
        return interned.intern(lane.withMessages(orders, replies));
    }

    /** The holder may have asked at any time, so each state that a rank passes through is taken as reported. */
    private static RankReply currentReply(RankState rank) {
        return new RankReply(rank.fencingNumber(), OrderCode.ACCEPTED, rank, 0);
    }

    private void addAlive(World world, int index, RankReply reply, Set<RankReply> replies) {
        if (reply.fencingNumber() > 0 && !isDead(world, index, reduced(world, reply))) {
            replies.add(reduced(world, reply));
        }
    }

    /** A rank that was shown the holder's number gains nothing by an order that changes nothing any more. */
    private boolean isDead(World world, Lane lane, RankOrder order) {
        RankReply reply = rules.apply().apply(lane.rank(), order, presentStep(world, lane));
        if (order instanceof RankOrder.Survey
                || order.fencingNumber() > lane.rank().fencingNumber()) {
            return reply.code() == OrderCode.FENCED;
        }
        boolean spent = order instanceof RankOrder.Go go && lane.rank().mapVersion() >= go.nextVersion()
                || order instanceof RankOrder.Abort abort && lane.rank().endedVersion() >= abort.nextVersion()
                || order instanceof RankOrder.Join && lane.rank().isJoined()
                || order instanceof RankOrder.Load;
        return switch (reply.code()) {
            case FENCED, ENDED -> true;
            default -> spent;
        };
    }

    /** Only a refusal's code matters, and only before its holder has ended the change. */
    private RankReply reduced(World world, RankReply reply) {
        ChangePhase phase = holder(world, reply).phase();
        boolean refusal = ChangeCoordinator.isRefusal(reply.code());
        boolean matters = refusal && phase.compareTo(ChangePhase.ARMING) <= 0;
        return new RankReply(
                reply.fencingNumber(), matters ? OrderCode.STEP_PASSED : OrderCode.ACCEPTED, reply.state(), 0);
    }

    private boolean isDead(World world, int index, RankReply reply) {
        ChangeState holder = holder(world, reply);
        if (holder.phase() == ChangePhase.FENCED) {
            return true;
        }
        @Nullable RankState known = holder.ranks().get(index);
        RankState state = rules.report().read(reply).state();
        boolean old = known != null && (known.isNewerThan(state) || known.equals(state));
        return old && reply.code() == OrderCode.ACCEPTED;
    }

    private static ChangeState holder(World world, RankReply reply) {
        return world.holders().get((int) reply.fencingNumber() - 1);
    }
}

package org.jasminehub.core.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.jasminehub.core.time.Clock;

/**
 * The calls of one instance that wait for a slot of a service, as a part of the queues of all instances.
 *
 * <p>The order is by priority, then by {@link CallTurn}, then by the first attempt of the caller. A priority that gets too few slots goes first for a while.
 *
 * <p>Not thread-safe.
 */
public final class SharedServiceQueue {
    /** Least time between two reviews; the queue is looked at with each status, up to a thousand times a second. */
    private static final long REVIEW_INTERVAL_MILLIS = 20;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Clock clock;
    private final FleetQueues fleet;
    private final int serviceHash;
    private final SlotPolicy slots;
    private final WorkspaceShares workspaces;
    private final RandomGenerator random;
    private final RecentCounts started;
    private final RecentCounts refused;
    private final RecentCounts ended;
    private final Set<QueuedCall> waiting = new HashSet<>();
    private PriorityCounts waitingCounts = PriorityCounts.NONE;
    private long statusIntervalMillis = 1;
    private long reviewedMillis;

    /** Creates an empty queue of {@code service}. */
    public SharedServiceQueue(Clock clock, FleetQueues fleet, String service, RandomGenerator random) {
        this.clock = clock;
        this.fleet = fleet;
        this.serviceHash = service.hashCode();
        this.slots = new SlotPolicy(clock, random);
        this.workspaces = new WorkspaceShares(clock);
        this.random = random;
        this.started = new RecentCounts(clock);
        this.refused = new RecentCounts(clock);
        this.ended = new RecentCounts(clock);
    }

    /** Sets the time between two statuses of an instance. */
    public void setStatusIntervalMillis(long millis) {
        statusIntervalMillis = Math.max(1, millis);
    }

    /** Returns {@code call}, which has just arrived, set back if it exceeds the share of its workspace. */
    public QueuedCall admit(QueuedCall call) {
        if (call.isFirstAttempt()) {
            workspaces.onFirstAttempt(call.priority(), call.workspace());
        }
        boolean isWithin = call.turn() == CallTurn.REPEATED_AT_ONCE
                || random.nextDouble() < workspaces.shareWithin(call.priority(), call.workspace(), all());
        return isWithin ? call : call.withTurn(CallTurn.BEYOND_SHARE);
    }

    /** Adds a call. */
    public void add(QueuedCall call) {
        if (waiting.add(call)) {
            waitingCounts = waitingCounts.with(call.priority(), 1);
        }
    }

    /** Removes a call if it waits. */
    public void remove(QueuedCall call) {
        if (waiting.remove(call)) {
            waitingCounts = waitingCounts.with(call.priority(), -1);
        }
    }

    /** Records that a call got a slot. */
    public void onStarted(QueuedCall call) {
        started.add(call.priority());
        slots.onTaken();
    }

    /** Records that a call is refused for lack of a slot. */
    public void onRefused(QueuedCall call) {
        if (call.isFirstAttempt()) {
            refused.add(call.priority());
        }
    }

    /** Records that a call ended and freed its slot. */
    public void onEnded() {
        ended.add(0);
        slots.onFreed();
    }

    /** Returns the status of this queue for other instances. */
    public QueueStatus status() {
        return new QueueStatus(
                waitingCounts, started.get(), refused.get(), ended.get().total());
    }

    /** Returns the waiting calls in the order in which they get slots. */
    public List<QueuedCall> inOrder() {
        if (waiting.isEmpty()) {
            return List.of();
        }
        List<QueuedCall> calls = new ArrayList<>(waiting);
        calls.sort(order());
        return calls;
    }

    private Comparator<QueuedCall> order() {
        Set<Integer> due = duePriorities();
        return Comparator.<QueuedCall>comparingInt(call -> isDue(call, due) ? -1 : call.priority())
                .thenComparingInt(QueuedCall::priority)
                .thenComparing(QueuedCall::turn)
                .thenComparingLong(QueuedCall::firstAttemptMillis)
                .thenComparingLong(QueuedCall::sequence);
    }

    private Set<Integer> duePriorities() {
        return slots.duePriorities(all(), statusIntervalMillis);
    }

    /** Callers that repeat at once must not gain by the guarantee of their priority. */
    private static boolean isDue(QueuedCall call, Set<Integer> due) {
        return call.turn() != CallTurn.REPEATED_AT_ONCE && due.contains(call.priority());
    }

    private QueueStatus all() {
        return fleet.peers(serviceHash).plus(status());
    }

    /** Returns the number of waiting calls that get slots before {@code call}, which may be waiting. */
    public int ahead(QueuedCall call) {
        if (waiting.isEmpty()) {
            return 0;
        }
        Comparator<QueuedCall> order = order();
        return (int)
                waiting.stream().filter(other -> order.compare(other, call) < 0).count();
    }

    /**
     * Returns whether {@code call} may take a slot now.
     *
     * @param ahead the number of calls of this instance that wait and get slots before it
     * @param freeSlots the number of slots that are free as far as this instance knows
     */
    public boolean mayTake(QueuedCall call, int ahead, IntSupplier freeSlots) {
        PriorityCounts elsewhere = fleet.peers(serviceHash).waiting();
        int priority = call.priority();
        // A call that waits although it is set back was sent before and refused by its endpoint.
        if (isSetBack(call) && !waiting.contains(call)) {
            return call.turn() == CallTurn.BEYOND_SHARE
                    && ahead + elsewhere.above(priority) + elsewhere.get(priority) + waitingCounts.get(priority) == 0;
        }
        boolean isFirst = elsewhere.above(priority) == 0 || isDue(call, duePriorities());
        double higherElsewhere = isFirst ? 0 : elsewhere.above(priority) * shareWithoutOwnSlot();
        int equalHere = Math.max(1, waitingCounts.get(priority));
        return slots.mayTake(
                ahead + higherElsewhere, elsewhere.get(priority), equalHere, freeSlots, statusIntervalMillis);
    }

    /**
     * Returns the share of waiting calls at whose instance no call ends within half a status interval, the mean age of
     * a status. The others get a slot of their own instance sooner than one that another instance leaves to them.
     */
    private double shareWithoutOwnSlot() {
        double endsPerInstance = (double) all().ended() / (fleet.peerCount() + 1);
        return Math.exp(-endsPerInstance * statusIntervalMillis / 2 / MILLIS_PER_SECOND);
    }

    /**
     * Returns whether the call gets no slot that others want. A caller that repeats at once is refused for as long as
     * calls of its priority or a higher one wait or were refused within the last second, at any instance.
     */
    private boolean isSetBack(QueuedCall call) {
        return call.turn() == CallTurn.BEYOND_SHARE
                || (call.turn() == CallTurn.REPEATED_AT_ONCE && isScarce(call.priority()));
    }

    private boolean isScarce(int priority) {
        QueueStatus all = all();
        return all.refused().get(priority) > 0
                || all.waiting().above(priority) + all.waiting().get(priority) > 0;
    }

    /**
     * Returns whether {@code call}, which does not wait yet, is likely to get a slot in time.
     *
     * @param leftMillis how much longer it may wait
     */
    public boolean mayWait(QueuedCall call, long leftMillis) {
        if (isSetBack(call)) {
            return false;
        }
        Comparator<QueuedCall> order = order();
        int ahead = 0;
        int equalAhead = 0;
        for (QueuedCall other : waiting) {
            boolean isAhead = order.compare(other, call) < 0;
            ahead += isAhead ? 1 : 0;
            equalAhead += isAhead && other.priority() == call.priority() ? 1 : 0;
        }
        return mayWait(call.priority(), ahead, equalAhead, waitingCounts.get(call.priority()), leftMillis, all());
    }

    /**
     * Returns the waiting calls that are no longer likely to get a slot in time, so that their callers are refused at
     * once.
     *
     * @param leftMillis how much longer a call may wait
     */
    public List<QueuedCall> withoutProspect(ToLongFunction<QueuedCall> leftMillis) {
        long nowMillis = clock.monotonicMillis();
        if (waiting.isEmpty() || nowMillis - reviewedMillis < REVIEW_INTERVAL_MILLIS) {
            return List.of();
        }
        reviewedMillis = nowMillis;
        QueueStatus all = all();
        int[] equalAhead = new int[PriorityCounts.PRIORITIES];
        int ahead = 0;
        List<QueuedCall> result = new ArrayList<>();
        for (QueuedCall call : inOrder()) {
            int priority = call.priority();
            long leftForCall = leftMillis.applyAsLong(call);
            if (mayWait(priority, ahead, equalAhead[priority], waitingCounts.get(priority) - 1, leftForCall, all)) {
                ahead++;
                equalAhead[priority]++;
            } else {
                result.add(call);
            }
        }
        return result;
    }

    /** Among the calls of its priority, a call is assumed to stand at other instances where it stands here. */
    private boolean mayWait(int priority, int ahead, int equalAhead, int equalHere, long leftMillis, QueueStatus all) {
        PriorityCounts elsewhere = fleet.peers(serviceHash).waiting();
        double equalElsewhere = elsewhere.get(priority) * (equalAhead + 1.0) / (equalHere + 1.0);
        return FleetWaitPolicy.mayWait(
                priority,
                ahead + elsewhere.above(priority) + equalElsewhere,
                equalAhead + equalElsewhere,
                leftMillis,
                all);
    }

    /**
     * Returns the time after which a refused caller should retry.
     *
     * @param position the position of this caller within the jitter range, from 0 to 1, both inclusive
     */
    public long retryAfterMillis(int priority, double position) {
        return FleetWaitPolicy.retryAfterMillis(priority, all(), position);
    }

    /** Returns how often a free slot was left to calls that wait elsewhere. */
    public long slotsLeft() {
        return slots.left();
    }
}

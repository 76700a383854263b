package org.jasminehub.core.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jasminehub.core.balance.StatusIntervalPolicy;
import org.jasminehub.core.time.ManualClock;

/**
 * Replays a load against the decisions of many instances in front of one pool of slots, without a network.
 *
 * <p>An instance knows its own open calls and those of the others as of their last statuses. An endpoint without a free
 * slot refuses the call, which returns to the queue of its instance.
 */
final class OverloadReplay {
    private static final long STEP_MILLIS = 5;
    private static final long REFUSAL_RETRY_MILLIS = 150;
    private static final long REQUEUE_WAIT_MILLIS = 1_500;
    private static final long FIRST_EVENT_MILLIS = 150;
    private static final double MEAN_SERVICE_MILLIS = 1_400;
    private static final double LONGEST_RETRY_SECONDS = 4.5;
    private static final double LOAD = 0.85;
    private static final double[] SHARES = {0.3, 0.4, 0.3};

    private final ManualClock clock = new ManualClock(100_000);
    private final ReplayLoad load;
    private final SplittableRandom arrivals;
    private final SplittableRandom random;
    private final int slots;
    private final long statusIntervalMillis;
    private final List<Instance> instances = new ArrayList<>();
    private final PriorityQueue<Timed> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timed::atMillis).thenComparingLong(Timed::sequence));
    private final ReplayResult result = new ReplayResult();
    private int open;
    private int waiting;
    private int publishedOpen;
    private long sequence;
    private double second = 0.5;

    private record Timed(long atMillis, long sequence, Runnable action) {}

    private static final class Instance {
        private final String name;
        private final ReplayDecisions decisions;
        private int open;
        private int published;

        Instance(String name, ReplayDecisions decisions) {
            this.name = name;
            this.decisions = decisions;
        }
    }

    private OverloadReplay(ReplayLoad load, int instanceCount, int slots, boolean isShared, long seed) {
        this.load = load;
        this.slots = slots;
        this.arrivals = new SplittableRandom(seed);
        this.random = new SplittableRandom(seed + 2);
        this.statusIntervalMillis = StatusIntervalPolicy.intervalMillis(instanceCount);
        Function<SplittableRandom, ReplayDecisions> decisions = each -> isShared
                ? new ReplayDecisions.Shared(clock, each, statusIntervalMillis)
                : new ReplayDecisions.Alone(clock);
        SplittableRandom own = new SplittableRandom(seed + 1);
        for (int index = 0; index < instanceCount; index++) {
            instances.add(new Instance("i" + index, decisions.apply(own.split())));
            int number = index;
            after(own.nextLong(statusIntervalMillis), () -> publish(number, isShared));
        }
    }

    /** Replays {@code load} until {@code toSecond}, and then without new callers until the last ones have come back. */
    static ReplayResult run(ReplayLoad load, int instances, int slots, double toSecond, boolean isShared, long seed) {
        return new OverloadReplay(load, instances, slots, isShared, seed).run(toSecond);
    }

    private ReplayResult run(double toSecond) {
        while (second < toSecond + LONGEST_RETRY_SECONDS) {
            clock.advanceMillis(STEP_MILLIS);
            second += STEP_MILLIS / 1_000.0;
            while (!timers.isEmpty() && timers.peek().atMillis() <= clock.monotonicMillis()) {
                timers.poll().action().run();
            }
            if (second < toSecond) {
                arrive();
                measure();
            }
        }
        return result;
    }

    private void after(long millis, Runnable action) {
        timers.add(new Timed(clock.monotonicMillis() + millis, sequence++, action));
    }

    private void arrive() {
        double perStep = LOAD * slots / MEAN_SERVICE_MILLIS * STEP_MILLIS;
        for (int priority = 0; priority < SHARES.length; priority++) {
            double expected = perStep * SHARES[priority] * load.rateFactor(priority, second);
            int count = (int) expected + (arrivals.nextDouble() < expected % 1 ? 1 : 0);
            for (int index = 0; index < count; index++) {
                long nowMillis = clock.monotonicMillis();
                result.attemptsInBurst[priority] += load.isBurst(second) ? 1 : 0;
                String workspace = load.workspace(arrivals.nextDouble());
                boolean isImpatient = load.isImpatient(arrivals.nextDouble());
                onCall(new ReplayCall(priority, workspace, isImpatient, nowMillis, nowMillis, sequence++, 0));
            }
        }
    }

    private void measure() {
        int free = Math.max(0, capacity() - open);
        result.emptySlotMillis += Math.min(free, waiting) * (double) STEP_MILLIS;
        result.slotMillis += waiting > 0 ? capacity() * (double) STEP_MILLIS : 0;
    }

    private int capacity() {
        return (int) (slots * load.capacityFactor(second));
    }

    private int knownFree(Instance instance) {
        return Math.max(0, capacity() - instance.open - (publishedOpen - instance.published));
    }

    private void publish(int number, boolean isShared) {
        after(statusIntervalMillis, () -> publish(number, isShared));
        if (load.isLost(number, second)) {
            return;
        }
        Instance sender = instances.get(number);
        publishedOpen += sender.open - sender.published;
        sender.published = sender.open;
        if (isShared) {
            QueueStatus status = sender.decisions.status();
            instances.stream()
                    .filter(receiver -> receiver != sender)
                    .forEach(receiver -> receiver.decisions.onPeerStatus(sender.name, status));
        }
        instances.forEach(this::dispatchQueued);
    }

    private void onCall(ReplayCall call) {
        Instance instance = instances.get(random.nextInt(instances.size()));
        instance.decisions.admit(call);
        dispatch(instance, call);
    }

    private void dispatch(Instance instance, ReplayCall call) {
        ReplayDecisions decisions = instance.decisions;
        if (knownFree(instance) > 0 && decisions.mayTake(call, decisions.ahead(call), () -> knownFree(instance))) {
            send(instance, call);
            return;
        }
        long elapsedMillis = clock.monotonicMillis() - call.arrivedMillis;
        long maxWaitMillis = call.sends > 0 ? REQUEUE_WAIT_MILLIS : call.maxWaitMillis() - elapsedMillis;
        if (call.sends == 0 && !decisions.mayWait(call, maxWaitMillis)) {
            refuse(instance, call);
            return;
        }
        call.waitEndMillis = clock.monotonicMillis() + maxWaitMillis;
        waiting++;
        call.isWaiting = true;
        decisions.add(call);
        after(maxWaitMillis, () -> {
            if (call.isWaiting && call.waitEndMillis <= clock.monotonicMillis()) {
                remove(instance, call);
                refuse(instance, call);
            }
        });
    }

    private void dispatchQueued(Instance instance) {
        ReplayDecisions decisions = instance.decisions;
        if (knownFree(instance) > 0) {
            int ahead = 0;
            for (ReplayCall call : decisions.inOrder()) {
                if (knownFree(instance) == 0) {
                    break;
                }
                if (decisions.mayTake(call, ahead, () -> knownFree(instance))) {
                    remove(instance, call);
                    send(instance, call);
                } else {
                    ahead++;
                }
            }
        }
        for (ReplayCall call : decisions.withoutProspect(clock.monotonicMillis())) {
            remove(instance, call);
            refuse(instance, call);
        }
    }

    private void remove(Instance instance, ReplayCall call) {
        waiting--;
        call.isWaiting = false;
        instance.decisions.remove(call);
    }

    private void send(Instance instance, ReplayCall call) {
        call.sends++;
        instance.open++;
        instance.decisions.onStarted(call);
        if (open >= capacity()) {
            result.refusedByEndpoints++;
            after(STEP_MILLIS, () -> {
                instance.open--;
                after(REFUSAL_RETRY_MILLIS, () -> dispatch(instance, call));
            });
            return;
        }
        open++;
        result.startsInBurst[call.priority] += load.isBurst(second) ? 1 : 0;
        long latencyMillis = clock.monotonicMillis() + FIRST_EVENT_MILLIS - call.firstAttemptMillis;
        boolean isInTime = latencyMillis <= call.route().targetLatencyMillis();
        tally(call, tally -> {
            tally.inTime += isInTime ? 1 : 0;
            tally.late += isInTime ? 0 : 1;
        });
        after((long) (MEAN_SERVICE_MILLIS * (0.6 + 0.8 * random.nextDouble())), () -> {
            open--;
            instance.open--;
            instance.decisions.onEnded();
            dispatchQueued(instance);
        });
    }

    private void refuse(Instance instance, ReplayCall call) {
        result.refusals++;
        instance.decisions.onRefused(call);
        // A patient caller gives up after a second refusal; an impatient one tries for about the same time.
        int maxRefusals = call.isImpatient ? 60 : 2;
        if (call.refusals + 1 >= maxRefusals) {
            tally(call, tally -> tally.refusedTwice++);
            return;
        }
        long toldMillis = instance.decisions.retryAfterMillis(call, random.nextDouble());
        after(call.isImpatient ? 10 : toldMillis, () -> onCall(call.repeated(clock.monotonicMillis(), sequence++)));
    }

    private void tally(ReplayCall call, Consumer<ReplayResult.Tally> update) {
        List<String> kinds = new ArrayList<>(List.of("priority " + call.priority));
        if (load == ReplayLoad.LARGE_WORKSPACE) {
            kinds.add("workspace " + (call.workspace.equals("large") ? "large" : "small"));
        }
        if (load == ReplayLoad.IMPATIENT_CALLERS) {
            kinds.add((call.isImpatient ? "impatient " : "patient ") + call.priority);
        }
        kinds.forEach(kind -> {
            result.of(kind).callers++;
            update.accept(result.of(kind));
        });
    }
}

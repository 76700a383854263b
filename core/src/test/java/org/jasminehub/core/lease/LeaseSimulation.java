package org.jasminehub.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.jasminehub.core.identity.InstanceId;

/** A simulation of instances, a log and an agent with random faults, reproducible from a seed. */
final class LeaseSimulation {
    static final ShardId SHARD = new ShardId("shard-0");
    private static final long STEP_MILLIS = 100;
    private static final long RETENTION_MILLIS = 60_000;
    private static final int INSTANCES = 4;

    private final Random random;
    private final LeaseTimings timings;
    private final double driftRatio;
    private final List<LoggedAppend> log = new ArrayList<>();
    private final TreeMap<Long, List<LeaseRecord>> inFlightAppends = new TreeMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final OrderGate gate = new OrderGate(1, event -> {});
    private final List<Long> acceptedNumbers = new ArrayList<>();
    private final Map<String, Integer> counts = new HashMap<>();
    private long nowMillis;
    private long nonce;

    LeaseSimulation(long seed, LeaseTimings timings, double driftRatio) {
        this.random = new Random(seed);
        this.timings = timings;
        this.driftRatio = driftRatio;
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new Instance(i));
        }
        gate.raiseLowestValidNumber(SHARD, 0);
    }

    /** Runs for {@code millis} and returns the maximum number of instances that held the lease at the same time. */
    int run(long millis) {
        int mostHolders = 0;
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            deliverAppends();
            instances.forEach(Instance::step);
            mostHolders = Math.max(mostHolders, holders());
        }
        return mostHolders;
    }

    List<Long> acceptedNumbers() {
        return acceptedNumbers;
    }

    int count(String event) {
        return counts.getOrDefault(event, 0);
    }

    /**
     * Replays the log from each offset and compares the states with those of a replay of the complete log.
     *
     * @return the number of states that differ, not counting those that the reader cannot determine
     */
    int disagreements() {
        List<LeaseState> expected = replayFrom(0);
        int disagreements = 0;
        for (int first = 1; first < log.size(); first++) {
            List<LeaseState> states = replayFrom(first);
            for (int i = 0; i < states.size(); i++) {
                boolean isDetermined = states.get(i).holder() != null;
                disagreements += isDetermined && !states.get(i).equals(expected.get(first + i)) ? 1 : 0;
            }
        }
        return disagreements;
    }

    private List<LeaseState> replayFrom(int firstOffset) {
        LeaseTable table = new LeaseTable(firstOffset);
        List<LeaseState> states = new ArrayList<>();
        for (int offset = firstOffset; offset < log.size(); offset++) {
            table.apply(offset, log.get(offset).leaseRecord());
            states.add(table.state(SHARD));
        }
        return states;
    }

    private int holders() {
        return (int) instances.stream().filter(Instance::holds).count();
    }

    private long firstOffset() {
        return log.stream()
                .filter(logged -> logged.millis() < nowMillis - RETENTION_MILLIS)
                .count();
    }

    private void deliverAppends() {
        while (!inFlightAppends.isEmpty() && inFlightAppends.firstKey() <= nowMillis) {
            for (LeaseRecord leaseRecord : inFlightAppends.pollFirstEntry().getValue()) {
                log.add(new LoggedAppend(nowMillis, leaseRecord));
            }
        }
    }

    /** Appends a record with random faults: some appends are lost, duplicated or delayed for longer than a lease. */
    private void append(LeaseRecord leaseRecord) {
        int copies = random.nextInt(10) == 0 ? random.nextInt(3) : 1;
        count("copies" + copies, true);
        for (int i = 0; i < copies; i++) {
            boolean isLate = random.nextInt(15) == 0;
            long delayMillis = random.nextInt(isLate ? 25_000 : 1_500);
            inFlightAppends
                    .computeIfAbsent(nowMillis + delayMillis, key -> new ArrayList<>())
                    .add(leaseRecord);
        }
    }

    private void order(long number) {
        OrderVerdict verdict = gate.admit(SHARD, number, 1);
        if (verdict == OrderVerdict.ACCEPTED) {
            acceptedNumbers.add(number);
        }
        count(verdict.name(), true);
    }

    private void count(String event, boolean happened) {
        counts.merge(event, happened ? 1 : 0, Integer::sum);
    }

    private record LoggedAppend(long millis, LeaseRecord leaseRecord) {}

    private final class Instance {
        private final int index;
        private final double rate;
        private final long originMillis = random.nextInt(1_000_000);
        private long incarnation;
        private long readToOffset;
        private long pausedUntilMillis;
        private Optional<Long> pendingOrderNumber = Optional.empty();
        private LeaseManager manager;

        Instance(int index) {
            this.index = index;
            this.rate = 1 + driftRatio * (index % 2 == 0 ? 1 : -1);
            this.manager = newManager();
        }

        private LeaseManager newManager() {
            incarnation++;
            readToOffset = firstOffset();
            return new LeaseManager(
                    new InstanceId("entry-" + index),
                    incarnation,
                    List.of(SHARD),
                    timings,
                    () -> nonce++,
                    readToOffset,
                    event -> {},
                    localMillis());
        }

        private long localMillis() {
            return originMillis + (long) (nowMillis * rate);
        }

        private boolean holds() {
            return manager.heldFencingNumber(SHARD, localMillis()).isPresent();
        }

        private void step() {
            if (nowMillis < pausedUntilMillis) {
                return;
            }
            // An order that was decided before a pause of the instance is sent after it.
            pendingOrderNumber.ifPresent(LeaseSimulation.this::order);
            fault();
            read();
            pendingOrderNumber = manager.heldFencingNumber(SHARD, localMillis());
            if (random.nextInt(3) == 0) {
                manager.poll(shard -> index, localMillis()).forEach(LeaseSimulation.this::append);
            }
        }

        private void fault() {
            if (random.nextInt(150) == 0) {
                pausedUntilMillis = nowMillis + random.nextInt(30_000);
                count("pause", true);
            }
            if (random.nextInt(600) == 0) {
                manager = newManager();
                pendingOrderNumber = Optional.empty();
                count("restart", true);
            }
        }

        private void read() {
            int records = random.nextInt(4);
            for (int i = 0; i < records && readToOffset < log.size(); i++) {
                manager.onRecordRead(readToOffset, log.get((int) readToOffset).leaseRecord(), localMillis());
                readToOffset++;
            }
        }
    }
}

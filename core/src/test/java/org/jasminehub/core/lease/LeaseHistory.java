package org.jasminehub.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.jasminehub.core.identity.InstanceId;

/** A random history of instances, a log and an agent, under faults drawn from a seed. */
final class LeaseHistory {
    static final ShardId SHARD = new ShardId("shard-0");
    private static final long STEP_MILLIS = 100;
    private static final long RETENTION_MILLIS = 60_000;
    private static final int INSTANCES = 4;

    private final Random random;
    private final LeaseTerms terms;
    private final double driftShare;
    private final List<Landed> log = new ArrayList<>();
    private final TreeMap<Long, List<LeaseRecord>> underway = new TreeMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final OrderGate gate = new OrderGate(1, event -> {});
    private final List<Long> acceptedNumbers = new ArrayList<>();
    private final Map<String, Integer> counts = new HashMap<>();
    private long nowMillis;
    private long nonce;

    LeaseHistory(long seed, LeaseTerms terms, double driftShare) {
        this.random = new Random(seed);
        this.terms = terms;
        this.driftShare = driftShare;
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new Instance(i));
        }
        gate.learn(SHARD, 0);
    }

    /** Runs for {@code millis}; returns the most instances that held the lease at one time. */
    int run(long millis) {
        int mostHolders = 0;
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            land();
            instances.forEach(Instance::step);
            mostHolders = Math.max(mostHolders, holders());
        }
        return mostHolders;
    }

    List<Long> acceptedNumbers() {
        return acceptedNumbers;
    }

    int count(String what) {
        return counts.getOrDefault(what, 0);
    }

    /** Replays the log from each offset; returns how often a reader that can tell differed from one from the start. */
    int disagreements() {
        List<LeaseState> truth = replayFrom(0);
        int disagreements = 0;
        for (int first = 1; first < log.size(); first++) {
            List<LeaseState> states = replayFrom(first);
            for (int i = 0; i < states.size(); i++) {
                boolean canTell = states.get(i).holder() != null;
                disagreements += canTell && !states.get(i).equals(truth.get(first + i)) ? 1 : 0;
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
                .filter(landed -> landed.millis() < nowMillis - RETENTION_MILLIS)
                .count();
    }

    private void land() {
        while (!underway.isEmpty() && underway.firstKey() <= nowMillis) {
            for (LeaseRecord leaseRecord : underway.pollFirstEntry().getValue()) {
                log.add(new Landed(nowMillis, leaseRecord));
            }
        }
    }

    /** Loses some appends, repeats some and delays some for longer than a lease. */
    private void append(LeaseRecord leaseRecord) {
        int copies = random.nextInt(10) == 0 ? random.nextInt(3) : 1;
        count("copies" + copies, true);
        for (int i = 0; i < copies; i++) {
            boolean isLate = random.nextInt(15) == 0;
            long delayMillis = random.nextInt(isLate ? 25_000 : 1_500);
            underway.computeIfAbsent(nowMillis + delayMillis, key -> new ArrayList<>())
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

    private void count(String what, boolean happened) {
        counts.merge(what, happened ? 1 : 0, Integer::sum);
    }

    private record Landed(long millis, LeaseRecord leaseRecord) {}

    private final class Instance {
        private final int index;
        private final double rate;
        private final long originMillis = random.nextInt(1_000_000);
        private long incarnation;
        private long readToOffset;
        private long pausedUntilMillis;
        private Optional<Long> numberInHand = Optional.empty();
        private LeaseManager manager;

        Instance(int index) {
            this.index = index;
            this.rate = 1 + driftShare * (index % 2 == 0 ? 1 : -1);
            this.manager = newManager();
        }

        private LeaseManager newManager() {
            incarnation++;
            readToOffset = firstOffset();
            return new LeaseManager(
                    new InstanceId("entry-" + index),
                    incarnation,
                    List.of(SHARD),
                    terms,
                    () -> nonce++,
                    readToOffset,
                    event -> {},
                    localMillis());
        }

        private long localMillis() {
            return originMillis + (long) (nowMillis * rate);
        }

        private boolean holds() {
            return manager.heldNumber(SHARD, localMillis()).isPresent();
        }

        private void step() {
            if (nowMillis < pausedUntilMillis) {
                return;
            }
            // An order that was decided before a pause is sent after it.
            numberInHand.ifPresent(LeaseHistory.this::order);
            fault();
            read();
            numberInHand = manager.heldNumber(SHARD, localMillis());
            if (random.nextInt(3) == 0) {
                manager.poll(shard -> index, localMillis()).forEach(LeaseHistory.this::append);
            }
        }

        private void fault() {
            if (random.nextInt(150) == 0) {
                pausedUntilMillis = nowMillis + random.nextInt(30_000);
                count("pause", true);
            }
            if (random.nextInt(600) == 0) {
                manager = newManager();
                numberInHand = Optional.empty();
                count("restart", true);
            }
        }

        private void read() {
            int records = random.nextInt(4);
            for (int i = 0; i < records && readToOffset < log.size(); i++) {
                manager.recordRead(readToOffset, log.get((int) readToOffset).leaseRecord(), localMillis());
                readToOffset++;
            }
        }
    }
}

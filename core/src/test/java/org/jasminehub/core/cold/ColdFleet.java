package org.jasminehub.core.cold;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.jasminehub.core.balance.EndpointChoicePolicy;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.ColdStart;
import org.jasminehub.core.serving.ColdTime;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EndpointRegistration;
import org.jasminehub.core.time.ManualClock;

/** Entry instances in front of 72 endpoints that turn cold, with late statuses and registrations and with faults. */
final class ColdFleet {
    static final int STEP_MILLIS = 10;
    static final int ENDPOINTS = 72;
    static final int SLOTS = 7;
    static final int DOMAIN = 24;
    static final long COLD_MILLIS = 3_000;

    private static final int STATUS_MILLIS = 300;
    private static final int READ_MILLIS = 2_000;
    private static final int HEARTBEAT_MILLIS = 240;
    private static final int PEER_TIMEOUT_MILLIS = 900;
    private static final int QUEUE_MILLIS = 400;
    private static final int RETRY_STEPS = 5;
    private static final int COLD_SLOWDOWN = 2;
    private static final FailureDomain ANYWHERE = new FailureDomain("a");

    /** One endpoint as it is, not as instances see it. */
    static final class Endpoint {
        final EndpointRecord record;
        final List<Long> arrivals = new ArrayList<>();
        final List<long[]> coldTimes = new ArrayList<>();
        private final Map<Instance, Integer> open = new HashMap<>();
        private long coldEndMillis;
        private int run;
        private long registrations = 1;

        Endpoint(int index) {
            record = new EndpointRecord(
                    new EndpointId("e-" + index), 1, "s", "10.0.0." + (index + 1), 80, ANYWHERE, SLOTS, false, null);
        }

        int openCalls() {
            return open.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    private record Pending(ColdSend send, Endpoint endpoint) {}

    /** One entry instance. */
    final class Instance {
        final String name;
        private final int number;
        private final long[] heardMillis;
        private final Deque<Long> queue = new ArrayDeque<>();
        private final List<Pending> chosen = new ArrayList<>();
        private Set<String> live = Set.of();
        private EndpointLoads loads;
        private EndpointChoicePolicy choice;
        private ColdEndpoints cold;
        private ColdStartPolicy policy;
        private SenderRanks ranks;
        private long downUntilMillis = -1;
        private long frozenUntilMillis = -1;
        private int process;

        Instance(int number, int instances) {
            this.number = number;
            this.name = "g-" + number;
            this.heardMillis = new long[instances];
            start();
        }

        private void start() {
            loads = new EndpointLoads(clock);
            choice = new EndpointChoicePolicy(loads, ANYWHERE, new SplittableRandom(random.nextLong()));
            cold = new ColdEndpoints(clock);
            ranks = new SenderRanks(name);
            policy = new ColdStartPolicy(clock, cold, ranks);
            queue.clear();
            chosen.clear();
            process++;
            for (Endpoint endpoint : endpoints) {
                register(endpoint, Math.max(0, endpoint.coldEndMillis - now()));
            }
        }

        private void register(Endpoint endpoint, long remainingMillis) {
            cold.onRegistration(new EndpointRegistration(
                    endpoint.record, endpoint.registrations, ColdTime.ofMillis(remainingMillis)));
        }

        boolean isRunning() {
            return downUntilMillis <= now() && frozenUntilMillis <= now();
        }

        private void updateView() {
            Set<String> next = new HashSet<>();
            for (Instance peer : instances) {
                if (peer == this || heardMillis[peer.number] > now() - PEER_TIMEOUT_MILLIS) {
                    next.add(peer.name);
                }
            }
            live = next;
            ranks.update(live, instances.size());
        }

        private Optional<EndpointRecord> choose() {
            if (!isNew) {
                return choice.choose(records, Set.of(), each -> 1);
            }
            List<EndpointRecord> warm = new ArrayList<>();
            List<EndpointRecord> colds = new ArrayList<>();
            for (EndpointRecord each : records) {
                if (policy.maySend(each, coldStart, ENDPOINTS)) {
                    (policy.isCold(each, coldStart) ? colds : warm).add(each);
                }
            }
            Optional<EndpointRecord> best = choice.choose(warm, Set.of(), each -> 1);
            return best.isPresent() ? best : choice.choose(colds, Set.of(), each -> 1);
        }

        private void work() {
            for (Pending pending : chosen) {
                write(pending);
            }
            chosen.clear();
            while (!queue.isEmpty() && queue.getFirst() < now() - QUEUE_MILLIS) {
                queue.removeFirst();
                refused++;
            }
            while (!queue.isEmpty() && (now() / STEP_MILLIS + number) % RETRY_STEPS == 0) {
                Optional<EndpointRecord> best = choose();
                if (best.isEmpty()) {
                    return;
                }
                queue.removeFirst();
                Endpoint endpoint = byId.get(best.get().id());
                loads.onSent(best.get().id());
                chosen.add(new Pending(policy.onSent(best.get(), coldStart, ENDPOINTS), endpoint));
            }
        }

        private void write(Pending pending) {
            Endpoint endpoint = pending.endpoint();
            if (isNew && !policy.mayWrite(pending.send())) {
                loads.onEnded(endpoint.record.id());
                return;
            }
            endpoint.arrivals.add(now());
            if (endpoint.openCalls() >= SLOTS) {
                loads.onEnded(endpoint.record.id());
                return;
            }
            served++;
            endpoint.open.merge(this, 1, Integer::sum);
            boolean isCold = now() < endpoint.coldEndMillis;
            long millis = (long) (meanCallMillis * (0.5 + random.nextDouble()) * (isCold ? COLD_SLOWDOWN : 1));
            int endpointRun = endpoint.run;
            int ownProcess = process;
            at(now() + millis, () -> {
                if (endpoint.run == endpointRun) {
                    endpoint.open.computeIfPresent(this, (key, count) -> count > 1 ? count - 1 : null);
                }
                if (process == ownProcess && downUntilMillis <= now()) {
                    loads.onEnded(endpoint.record.id());
                    policy.onResponse(endpoint.record.incarnation());
                    cold.onResponse(
                            endpoint.record.incarnation(),
                            ColdTime.ofMillis(Math.max(0, endpoint.coldEndMillis - now())));
                }
            });
        }

        private void readStatuses() {
            Map<EndpointId, Integer> others = new HashMap<>();
            for (Endpoint endpoint : endpoints) {
                int count = endpoint.openCalls() - endpoint.open.getOrDefault(this, 0);
                if (count > 0) {
                    others.put(endpoint.record.id(), count);
                }
            }
            loads.onPeerLoads("others", others);
        }
    }

    final List<Endpoint> endpoints = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    long served;
    long refused;

    private final ManualClock clock = new ManualClock(0);
    private final SplittableRandom random;
    private final ColdStart coldStart;
    private final boolean isNew;
    private final double callsPerSecond;
    private final List<EndpointRecord> records = new ArrayList<>();
    private final Map<EndpointId, Endpoint> byId = new HashMap<>();
    private final Map<Long, List<Runnable>> scheduled = new HashMap<>();
    private int meanCallMillis = 1_000;
    private int[] parts;
    private double lostShare;

    ColdFleet(int seed, int instanceCount, double requestsPerSecond, double callsPerSecond, boolean isNew) {
        this.random = new SplittableRandom(seed);
        this.coldStart = new ColdStart(COLD_MILLIS, requestsPerSecond, "");
        this.callsPerSecond = callsPerSecond;
        this.isNew = isNew;
        this.parts = new int[instanceCount];
        for (int index = 0; index < ENDPOINTS; index++) {
            Endpoint endpoint = new Endpoint(index);
            endpoints.add(endpoint);
            records.add(endpoint.record);
            byId.put(endpoint.record.id(), endpoint);
        }
        for (int number = 0; number < instanceCount; number++) {
            instances.add(new Instance(number, instanceCount));
        }
    }

    long now() {
        return clock.monotonicMillis();
    }

    void setMeanCallMillis(int millis) {
        meanCallMillis = millis;
    }

    SplittableRandom random() {
        return random;
    }

    private void at(long millis, Runnable action) {
        long step = Math.max(now() + STEP_MILLIS, millis) / STEP_MILLIS * STEP_MILLIS;
        scheduled.computeIfAbsent(step, each -> new ArrayList<>()).add(action);
    }

    /** Makes an endpoint cold and idle; instances read of it within 2 s, or see it in a response. */
    void turnCold(Endpoint endpoint) {
        endpoint.coldEndMillis = now() + COLD_MILLIS;
        int last = endpoint.coldTimes.size() - 1;
        if (last >= 0 && endpoint.coldTimes.get(last)[1] >= now()) {
            endpoint.coldTimes.get(last)[1] = endpoint.coldEndMillis;
        } else {
            endpoint.coldTimes.add(new long[] {now(), endpoint.coldEndMillis});
        }
        endpoint.registrations++;
        endpoint.open.clear();
        endpoint.run++;
        for (Instance instance : instances) {
            at(now() + 1 + random.nextInt(READ_MILLIS), () -> {
                if (instance.downUntilMillis <= now()) {
                    // The registration states the time that remained when it was written.
                    instance.register(endpoint, COLD_MILLIS);
                }
            });
        }
    }

    void kill(Instance instance, long downMillis) {
        instance.downUntilMillis = now() + downMillis;
        instance.process++;
        endpoints.forEach(endpoint -> endpoint.open.remove(instance));
        at(instance.downUntilMillis, instance::start);
    }

    void freeze(Instance instance, long millis) {
        instance.frozenUntilMillis = now() + millis;
    }

    /** Lets instances hear only those of the same part, of which they lose {@code share} of the statuses besides. */
    void split(int[] partOfInstance, double share) {
        parts = partOfInstance;
        lostShare = share;
    }

    void run(long millis) {
        for (long end = now() + millis; now() < end; ) {
            clock.advanceMillis(STEP_MILLIS);
            Optional.ofNullable(scheduled.remove(now())).ifPresent(actions -> actions.forEach(Runnable::run));
            exchange();
            double due = callsPerSecond * STEP_MILLIS / 1_000;
            for (int calls = (int) due + (random.nextDouble() < due - (int) due ? 1 : 0); calls > 0; calls--) {
                Instance instance = instances.get(random.nextInt(instances.size()));
                if (instance.isRunning()) {
                    instance.queue.add(now());
                }
            }
            instances.stream().filter(Instance::isRunning).forEach(Instance::work);
        }
    }

    private void exchange() {
        for (Instance instance : instances) {
            if (!instance.isRunning()) {
                continue;
            }
            if ((now() / STEP_MILLIS + instance.number) % (STATUS_MILLIS / STEP_MILLIS) == 0) {
                instance.readStatuses();
            }
            if ((now() / STEP_MILLIS + instance.number) % (HEARTBEAT_MILLIS / STEP_MILLIS) == 0) {
                for (Instance peer : instances) {
                    boolean isHeard = peer.downUntilMillis <= now()
                            && parts[peer.number] == parts[instance.number]
                            && (lostShare == 0 || random.nextDouble() >= lostShare);
                    if (isHeard) {
                        peer.heardMillis[instance.number] = now();
                    }
                }
            }
            if ((now() / STEP_MILLIS + instance.number) % 10 == 0) {
                instance.updateView();
            }
        }
    }

    /** Returns the largest number of arrivals at one endpoint in any window within its cold times. */
    long largestSum(long windowMillis, long afterStartMillis) {
        long largest = 0;
        for (Endpoint endpoint : endpoints) {
            for (long[] time : endpoint.coldTimes) {
                Deque<Long> window = new ArrayDeque<>();
                for (long arrival : endpoint.arrivals) {
                    if (arrival < time[0] + afterStartMillis || arrival >= time[1]) {
                        continue;
                    }
                    window.addLast(arrival);
                    while (window.getFirst() <= arrival - windowMillis) {
                        window.removeFirst();
                    }
                    largest = Math.max(largest, window.size());
                }
            }
        }
        return largest;
    }
}

package org.jasminehub.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jasminehub.core.time.ManualClock;

/**
 * A model of the reads of the configuration log in a fleet: the store, the waiting reads, and the statuses and echoes of
 * the instances. Both the rule before {@link ConfigurationReadPolicy} and the policy can be played.
 */
final class ConfigurationReadFleet {
    private static final long STEP_MILLIS = 10;
    private static final long ROUND_TRIP_MILLIS = 10;
    private static final long CHECK_MILLIS = 200;
    private static final long HEARTBEAT_MILLIS = 240;
    private static final long PEER_TIMEOUT_MILLIS = 900;
    private static final long CONFIRMATION_WANTED_MILLIS = 900;
    private static final long MIN_GAIN_MILLIS = 200;
    private static final long MAX_RETRY_MILLIS = 600;
    private static final long REWRITE_MILLIS = 2_200;
    private static final int DOMAINS = 3;

    /** One entry instance. */
    final class Instance {
        final String name;
        final int domain;
        private final ConfigurationReadPolicy policy;
        private final long[] heardAt;
        boolean isLost;
        boolean isCutFromStore;
        private long confirmedAt;
        private long sentAt;
        private long waitMillis;
        private long doneAt;
        private long retryMillis = 150;
        private boolean isRetrying;
        private long nextCheckAt;
        private long nextStatusAt;

        private Instance(int index, int size) {
            name = "entry-" + index;
            domain = index % DOMAINS;
            policy = new ConfigurationReadPolicy(name, clock);
            heardAt = new long[size];
            confirmedAt = now();
            nextCheckAt = now() + random.nextLong(CHECK_MILLIS);
            nextStatusAt = now() + random.nextLong(statusIntervalMillis);
            // The phases of the instances are spread, as after some time of operation.
            doneAt = now() + random.nextLong(1_500);
            isRetrying = true;
        }

        long ageMillis() {
            return now() - confirmedAt;
        }

        private boolean reachesStore() {
            return !isStoreDown && !isCutFromStore;
        }

        private void send(long wait) {
            calls++;
            isRetrying = false;
            sentAt = now();
            waitMillis = wait;
            doneAt = now() + ROUND_TRIP_MILLIS + (reachesStore() ? wait : 0);
        }

        private void sendNext() {
            send(
                    isOldRule
                            ? ConfigurationWaitPolicy.waitMillis(instances.size())
                            : policy.nextWaitMillis(instances.size(), rewriteRemainingMillis()));
        }

        private void onReadDone() {
            if (isRetrying) {
                sendNext();
            } else if (reachesStore()) {
                retryMillis = 150;
                // A read confirms the age only if it was sent after the lost records count as written again.
                if (sentAt >= risenAt + REWRITE_MILLIS) {
                    confirmedAt = Math.max(confirmedAt, sentAt + waitMillis);
                }
                sendNext();
            } else {
                isRetrying = true;
                doneAt = now() + retryMillis;
                retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
            }
        }

        private void check() {
            nextCheckAt = now() + CHECK_MILLIS;
            List<String> live = new ArrayList<>();
            for (int i = 0; i < heardAt.length; i++) {
                if (instances.get(i) == this || now() - heardAt[i] < PEER_TIMEOUT_MILLIS) {
                    live.add(instances.get(i).name);
                }
            }
            policy.onLiveInstances(live);
            if (policy.mustReadNow(ageMillis())) {
                send(0);
            }
        }

        private void sendStatus(int self) {
            nextStatusAt = now() + statusIntervalMillis;
            long askedAgeMillis = ageMillis();
            for (Instance peer : instances) {
                if (peer == this || peer.isLost || (areDomainsCut && peer.domain != domain)) {
                    continue;
                }
                peer.heardAt[self] = now();
                boolean isAnswered = askedAgeMillis >= CONFIRMATION_WANTED_MILLIS
                        && (isOldRule || peer.policy.answers(askedAgeMillis))
                        && peer.ageMillis() <= askedAgeMillis - MIN_GAIN_MILLIS;
                if (isAnswered) {
                    echoes++;
                    long confirmed = peer.confirmedAt - ROUND_TRIP_MILLIS;
                    if (confirmed > confirmedAt) {
                        confirmedAt = confirmed;
                        policy.onPeerConfirmation();
                    }
                }
            }
        }

        private void step(int index) {
            if (now() >= doneAt) {
                onReadDone();
            }
            if (!isOldRule && now() >= nextCheckAt) {
                check();
            }
            if (now() >= nextStatusAt) {
                sendStatus(index);
            }
        }
    }

    final List<Instance> instances = new ArrayList<>();
    private final ManualClock clock = new ManualClock(100_000);
    private final SplittableRandom random;
    private final boolean isOldRule;
    private final long statusIntervalMillis;
    boolean areDomainsCut;
    private boolean isStoreDown;
    private long risenAt;
    private long calls;
    private long echoes;
    private long oldestMillis;
    private long measuredFrom;

    ConfigurationReadFleet(int size, boolean isOldRule, long seed) {
        this.random = new SplittableRandom(seed);
        this.isOldRule = isOldRule;
        long interval = StatusIntervalPolicy.intervalMillis(size);
        // The longest time between two statuses, which an instance without calls sends.
        this.statusIntervalMillis = (HEARTBEAT_MILLIS + interval - 1) / interval * interval;
        for (int i = 0; i < size; i++) {
            instances.add(new Instance(i, size));
        }
    }

    private long now() {
        return clock.monotonicMillis();
    }

    private long rewriteRemainingMillis() {
        return risenAt == 0 ? 0 : Math.max(0, risenAt + REWRITE_MILLIS - now());
    }

    /** Returns the instances that read with short waits. */
    List<Instance> readers() {
        List<String> names = ConfigurationReadPolicy.readers(instances.stream()
                .filter(each -> !each.isLost)
                .map(each -> each.name)
                .toList());
        return instances.stream().filter(each -> names.contains(each.name)).toList();
    }

    /** Lets the store refuse all calls, which also ends the waiting reads. */
    void setStoreDown(boolean down) {
        isStoreDown = down;
        if (down) {
            instances.forEach(each -> each.doneAt = Math.min(each.doneAt, now() + ROUND_TRIP_MILLIS));
        }
    }

    /** Replaces the store by a copy; every instance learns of it at once and reads all records again. */
    void restore() {
        risenAt = now();
        instances.forEach(each -> {
            each.isRetrying = true;
            each.doneAt = now();
        });
    }

    /** Begins a new measurement. */
    void measure() {
        calls = 0;
        echoes = 0;
        oldestMillis = 0;
        measuredFrom = now();
    }

    /** Plays {@code millis} of operation. */
    void run(long millis) {
        for (long end = now() + millis; now() < end; clock.advanceMillis(STEP_MILLIS)) {
            for (int i = 0; i < instances.size(); i++) {
                Instance each = instances.get(i);
                if (!each.isLost) {
                    each.step(i);
                    oldestMillis = Math.max(oldestMillis, each.ageMillis());
                }
            }
        }
    }

    double callsPerSecond() {
        return 1_000.0 * calls / (now() - measuredFrom);
    }

    /** Returns the echoes that an instance receives in a second. */
    double echoesPerSecond() {
        return 1_000.0 * echoes / (now() - measuredFrom) / instances.size();
    }

    long oldestMillis() {
        return oldestMillis;
    }
}

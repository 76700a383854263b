package org.jasminehub.core.balance;

import com.google.common.collect.Ordering;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.jasminehub.core.time.Clock;

/**
 * Determines how an instance of a larger fleet reads the configuration log.
 *
 * <p>Load pattern: a new version ends every waiting read at once, so the length of a wait only determines how old the
 * confirmation of the version in force becomes, and instances confirm the age to each other. A few readers, chosen by
 * rendezvous hashing over the live instances, therefore confirm it often with short waits; the others wait for long and
 * rely on them. An instance whose age grows nevertheless reads at once, and for a while as often as a small fleet does.
 *
 * <p>The choice of readers affects only the number of calls. Views that differ for a moment add or lack a reader, and an
 * age is always derived from a read of the store.
 *
 * <p>Not thread-safe.
 */
public final class ConfigurationReadPolicy {
    /** In smaller fleets the readers' short waits would save next to nothing. */
    public static final int MIN_INSTANCES = 8;

    /** The wait of an instance that relies on readers. */
    public static final long RELYING_WAIT_MILLIS = 8_000;

    /** One reader keeps all ages low; the second takes over while the loss of the first is not noticed. */
    private static final int READERS = 2;

    /**
     * Keeps ages below 1.9 s even if the other reader is lost: the wait, up to 0.6 s until the next status asks for the
     * reader's age, and a few round trips. With 1.6 s, ages would reach the limit at which an instance reads by itself.
     */
    private static final long READER_WAIT_MILLIS = 1_200;

    /** An age from which an instance reads by itself; ages of a fleet without faults stay below it. */
    private static final long MIN_AGE_LIMIT_MILLIS = 2_000;

    /**
     * The limits of the instances are spread over this time. If all readers are lost, the first instances that read
     * answer the statuses of the others, which then need no read.
     */
    private static final long AGE_LIMIT_SPREAD_MILLIS = 400;

    /** An instance relies on peers only if one of them confirmed its age within this time. */
    private static final long CONFIRMATION_VALID_MILLIS = 2_000;

    /** How long an instance does not rely on peers after their confirmations failed to arrive. */
    private static final long DISTRUST_MILLIS = 10_000;

    /** From this age on every peer answers, since the readers evidently did not. */
    private static final long ANY_ANSWER_AGE_MILLIS = 1_900;

    private static final Comparator<String> BY_SCORE =
            Comparator.comparingInt(ConfigurationReadPolicy::score).thenComparing(Comparator.naturalOrder());

    private final String self;
    private final Clock clock;
    private final long ageLimitMillis;
    private int liveInstances = 1;
    private boolean isReader;
    private boolean isRelying;
    private boolean wasRewriting;
    private long confirmedByPeerMillis;
    private boolean hasPeerConfirmation;
    private long distrustUntilMillis = Long.MIN_VALUE;

    /** Creates the policy of the instance {@code self}, which knows no other instance yet. */
    public ConfigurationReadPolicy(String self, Clock clock) {
        this.self = self;
        this.clock = clock;
        this.ageLimitMillis = MIN_AGE_LIMIT_MILLIS + Math.floorMod((long) score(self), AGE_LIMIT_SPREAD_MILLIS);
    }

    /** Records the live instances that accept callers, including this one if it does. */
    public void onLiveInstances(Collection<String> live) {
        liveInstances = live.size();
        isReader = liveInstances >= MIN_INSTANCES && readers(live).contains(self);
    }

    /** Records that a peer confirmed a newer age than this instance's own. */
    public void onPeerConfirmation() {
        hasPeerConfirmation = true;
        confirmedByPeerMillis = clock.monotonicMillis();
    }

    /** Returns the instances that read with short waits. */
    public static List<String> readers(Collection<String> live) {
        return Ordering.from(BY_SCORE).leastOf(live, READERS);
    }

    /**
     * Returns how long the next read waits.
     *
     * @param knownInstances an upper bound for the number of instances
     * @param rewriteRemainingMillis the time for which a read cannot confirm the age because the store was restored
     */
    public long nextWaitMillis(int knownInstances, long rewriteRemainingMillis) {
        isRelying = false;
        long usualMillis = ConfigurationWaitPolicy.waitMillis(knownInstances);
        if (liveInstances < MIN_INSTANCES) {
            wasRewriting = false;
            return usualMillis;
        }
        if (rewriteRemainingMillis > 0) {
            wasRewriting = true;
            return Math.min(usualMillis, rewriteRemainingMillis);
        }
        if (wasRewriting) {
            // The first read that can confirm the age returns at once, since the age has grown since the restore.
            wasRewriting = false;
            return 0;
        }
        if (isReader) {
            return READER_WAIT_MILLIS;
        }
        isRelying = canRely();
        return isRelying ? RELYING_WAIT_MILLIS : usualMillis;
    }

    private boolean canRely() {
        long nowMillis = clock.monotonicMillis();
        return hasPeerConfirmation
                && nowMillis - confirmedByPeerMillis < CONFIRMATION_VALID_MILLIS
                && nowMillis >= distrustUntilMillis;
    }

    /** Returns whether the current read must be replaced by one that returns at once; true only once for a read. */
    public boolean mustReadNow(long ageMillis) {
        if (!isRelying) {
            return false;
        }
        boolean isTooOld = ageMillis >= ageLimitMillis;
        if (isTooOld) {
            distrustUntilMillis = clock.monotonicMillis() + DISTRUST_MILLIS;
        }
        // A reader, or an instance of a fleet that shrank, must not wait for long.
        boolean mustRead = isTooOld || isReader || liveInstances < MIN_INSTANCES;
        isRelying = !mustRead;
        return mustRead;
    }

    /**
     * Returns whether to confirm the age of a peer that states {@code peerAgeMillis}. If all did, the messages of a
     * fleet would grow with its square.
     */
    public boolean answers(long peerAgeMillis) {
        return liveInstances < MIN_INSTANCES || isReader || peerAgeMillis >= ANY_ANSWER_AGE_MILLIS;
    }

    /**
     * Returns the rank of an instance as a reader, the lowest first. The hash of a string is computed once, so that a
     * check several times a second costs little with thousands of instances.
     */
    private static int score(String name) {
        // The last steps of the 32-bit MurmurHash3, without which similar names would have similar ranks.
        int hash = name.hashCode();
        hash = (hash ^ (hash >>> 16)) * 0x85ebca6b;
        hash = (hash ^ (hash >>> 13)) * 0xc2b2ae35;
        return hash ^ (hash >>> 16);
    }
}

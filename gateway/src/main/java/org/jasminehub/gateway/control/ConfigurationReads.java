package org.jasminehub.gateway.control;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jasminehub.core.balance.ConfigurationReadPolicy;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.time.Clock;

/**
 * Adapts the reads of the configuration log to the live instances. Must be used on the process's event loop only.
 */
public final class ConfigurationReads {
    /**
     * Versions that follow each other more closely are read together, since each one is the whole configuration. A small
     * part of the 2 to 3 s within which a version has to be in force.
     */
    private static final long BATCH_MILLIS = 250;

    private final ConfigurationReadPolicy policy;
    private final EraTracker eras;

    /** Creates reads of the instance {@code self}, which behave like those of a single instance until the first check. */
    public ConfigurationReads(String self, EraTracker eras, Clock clock) {
        this.policy = new ConfigurationReadPolicy(self, clock);
        this.eras = eras;
    }

    /** Returns the settings of the follower; {@code instances} is an upper bound for the number of instances. */
    public FollowerSettings settings(IntSupplier instances, long timeoutMillis) {
        return FollowerSettings.batching(
                () -> policy.nextWaitMillis(instances.getAsInt(), eras.rewriteRemainingMillis()),
                BATCH_MILLIS,
                timeoutMillis);
    }

    /** Records that a peer confirmed a newer age than this instance's own. */
    void onPeerConfirmation() {
        policy.onPeerConfirmation();
    }

    /** Returns whether to confirm the age of a peer that states {@code peerAgeMillis}. */
    boolean answers(long peerAgeMillis) {
        return policy.answers(peerAgeMillis);
    }

    /** Replaces a long wait by a read at once if the age is not kept low by peers, or if it is this instance's task. */
    void check(Supplier<List<PeerState>> live, ConfigurationController configuration) {
        // An instance that has not reached the store for long does not accept callers, and would be of no use as a
        // reader.
        policy.onLiveInstances(live.get().stream()
                .filter(PeerState::acceptsCallers)
                .map(each -> each.instance().getInstance())
                .toList());
        if (policy.mustReadNow(configuration.ageMillis())) {
            configuration.readNow();
        }
    }
}

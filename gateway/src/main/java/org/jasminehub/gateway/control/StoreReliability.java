package org.jasminehub.gateway.control;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StartupPolicy;
import org.jasminehub.core.time.Clock;

/**
 * Determines after the start of this process when it may rely on what the store shows, and registers it then.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class StoreReliability {
    private final EraTracker eras;
    private final InstanceDirectory instances;
    private final InstanceRegistration registration;
    private final BooleanSupplier isInformedByPeer;
    private final Clock clock;
    private long firstReadMillis = Long.MAX_VALUE;
    private boolean isComplete;
    private boolean isReliable;

    /** Creates the state of a process that has read nothing yet. */
    public StoreReliability(
            EraTracker eras,
            InstanceDirectory instances,
            InstanceRegistration registration,
            BooleanSupplier isInformedByPeer,
            Clock clock) {
        this.eras = eras;
        this.instances = instances;
        this.registration = registration;
        this.isInformedByPeer = isInformedByPeer;
        this.clock = clock;
    }

    /**
     * Returns whether the store showed all records since the start, or a peer shared what it does not show. Once true
     * it stays true, because the state of this process only moves forward from there.
     */
    public boolean isReliable() {
        return isReliable;
    }

    /** Re-evaluates the state after a configuration has been read. */
    public void onConfigurationKnown() {
        if (isComplete) {
            return;
        }
        long nowMillis = clock.monotonicMillis();
        firstReadMillis = Math.min(firstReadMillis, nowMillis);
        isComplete = StartupPolicy.isStoreComplete(
                eras.current().orElse(null),
                instances.hasRead() ? Optional.of(instances.erasOfOthers()) : Optional.empty(),
                nowMillis - firstReadMillis);
        isReliable = isReliable || isComplete || isInformedByPeer.getAsBoolean();
        if (isComplete) {
            registration.registerInCurrentEra();
        } else if (instances.hasRead()) {
            registration.registerWithoutEra();
        }
    }
}

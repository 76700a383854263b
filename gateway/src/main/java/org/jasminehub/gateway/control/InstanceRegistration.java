package org.jasminehub.gateway.control;

import java.util.random.RandomGenerator;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jasminehub.wire.generated.InstanceRecord;

/** Keeps this process registered in the store. Must be used on the process's event loop only. */
public final class InstanceRegistration {
    /** A registration is one small append, which a healthy store answers within a few milliseconds. */
    private static final long APPEND_TIMEOUT_MILLIS = 1_000;

    private static final long APPEND_RETRY_MILLIS = 1_000;

    /**
     * Longest random delay of a new registration after a restore, so that the whole fleet does not write at once. A
     * store that takes 400 appends a second then serves several hundred instances.
     */
    private static final long REWRITE_SPREAD_MILLIS = 1_500;

    /** The era in registrations of processes that do not know it. */
    private static final long UNKNOWN_ERA = 0;

    private final StoreClient store;
    private final DelayedRunner timer;
    private final EventSink events;
    private final EraTracker eras;
    private final RandomGenerator random;
    private InstanceRecord self;
    private boolean isRequested;
    private boolean isRegistered;
    private boolean isDeregistering;

    /** Creates a registration for {@code self} without registering it yet. */
    public InstanceRegistration(
            InstanceRecord self,
            StoreClient store,
            DelayedRunner timer,
            EventSink events,
            EraTracker eras,
            RandomGenerator random) {
        this.self = self;
        this.store = store;
        this.timer = timer;
        this.events = events;
        this.eras = eras;
        this.random = random;
        eras.onRise(this::registerAfterRewrite);
    }

    /**
     * Registers again once lost records count as written again. A restore may have removed the registration, and its
     * era tells processes that start later that they can rely on the store.
     */
    private void registerAfterRewrite() {
        long delayMillis = eras.rewriteRemainingMillis() + random.nextLong(REWRITE_SPREAD_MILLIS);
        timer.runAfter(delayMillis, this::registerInCurrentEra);
    }

    /**
     * Registers with the era of the store, which states that the store shows all records. Does so only after the time
     * in which records lost in a restore are written again.
     */
    public void registerInCurrentEra() {
        registerIn(
                eras.isRewriting()
                        ? self.getStoreEra()
                        : eras.current().map(StoreEra::number).orElse(UNKNOWN_ERA));
    }

    /** Registers without an era, because this process cannot tell yet whether the store's records are complete. */
    public void registerWithoutEra() {
        registerIn(UNKNOWN_ERA);
    }

    private void registerIn(long era) {
        if (!isRequested || self.getStoreEra() != era) {
            isRequested = true;
            self = self.toBuilder().setStoreEra(era).build();
            register();
        }
    }

    /** Returns the record that is registered. */
    public InstanceRecord self() {
        return self;
    }

    /** Returns whether the store has confirmed the registration. */
    public boolean isRegistered() {
        return isRegistered;
    }

    /** Appends the registration and retries until the store confirms it. */
    void register() {
        if (isDeregistering) {
            return;
        }
        store.append(StoreTopic.INSTANCES, self.getInstance(), self.toByteArray(), APPEND_TIMEOUT_MILLIS)
                .whenComplete((done, failure) -> {
                    isRegistered = failure == null;
                    if (failure != null) {
                        reportFailure("registration failed, retrying", failure);
                        timer.runAfter(APPEND_RETRY_MILLIS, this::register);
                    }
                });
    }

    /** Removes the registration. */
    public void deregister() {
        isDeregistering = true;
        store.append(StoreTopic.INSTANCES, self.getInstance(), null, APPEND_TIMEOUT_MILLIS)
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        reportFailure("could not remove the registration", failure);
                    }
                });
    }

    private void reportFailure(String message, Throwable failure) {
        events.emit(new ControlEvent(
                ControlEventKind.STORE_LOST, self.getInstance(), message + ": " + failure.getMessage(), 0));
    }
}

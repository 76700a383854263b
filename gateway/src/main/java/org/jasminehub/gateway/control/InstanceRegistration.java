package org.jasminehub.gateway.control;

import org.jasminehub.core.event.EventSink;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jasminehub.wire.generated.InstanceRecord;

/** Keeps one process of this system registered. Used on the process's event loop only. */
public final class InstanceRegistration {
    /** A registration is one small append; the store answers those within a few milliseconds when it is well. */
    private static final long APPEND_TIMEOUT_MILLIS = 1_000;

    private static final long APPEND_RETRY_MILLIS = 1_000;

    private final InstanceRecord self;
    private final StoreClient store;
    private final DelayedRunner timer;
    private final EventSink events;
    private boolean isRegistered;
    private boolean isLeaving;

    /** Creates the registration of {@code self}, which is not made yet. */
    public InstanceRegistration(InstanceRecord self, StoreClient store, DelayedRunner timer, EventSink events) {
        this.self = self;
        this.store = store;
        this.timer = timer;
        this.events = events;
    }

    /** Returns what is registered. */
    public InstanceRecord self() {
        return self;
    }

    /** Returns whether the registration was confirmed. */
    public boolean isRegistered() {
        return isRegistered;
    }

    /** Registers, and tries again until that is confirmed. */
    public void register() {
        if (isLeaving) {
            return;
        }
        store.append(StoreTopic.INSTANCES, self.getInstance(), self.toByteArray(), APPEND_TIMEOUT_MILLIS)
                .whenComplete((done, failure) -> {
                    isRegistered = failure == null;
                    if (failure != null) {
                        note("not registered yet", failure);
                        timer.runAfter(APPEND_RETRY_MILLIS, this::register);
                    }
                });
    }

    /** Takes the registration back. */
    public void leave() {
        isLeaving = true;
        store.append(StoreTopic.INSTANCES, self.getInstance(), null, APPEND_TIMEOUT_MILLIS)
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        note("the registration could not be taken back", failure);
                    }
                });
    }

    private void note(String what, Throwable failure) {
        events.emit(new ControlEvent(
                ControlEventKind.STORE_LOST, self.getInstance(), what + ": " + failure.getMessage(), 0));
    }
}

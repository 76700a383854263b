package org.jasminehub.gateway.control;

import org.jasminehub.core.event.EventSink;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jasminehub.wire.generated.InstanceRecord;

/** Keeps this process registered in the store. Must be used on the process's event loop only. */
public final class InstanceRegistration {
    /** A registration is one small append, which a healthy store answers within a few milliseconds. */
    private static final long APPEND_TIMEOUT_MILLIS = 1_000;

    private static final long APPEND_RETRY_MILLIS = 1_000;

    private final InstanceRecord self;
    private final StoreClient store;
    private final DelayedRunner timer;
    private final EventSink events;
    private boolean isRegistered;
    private boolean isDeregistering;

    /** Creates a registration for {@code self} without registering it yet. */
    public InstanceRegistration(InstanceRecord self, StoreClient store, DelayedRunner timer, EventSink events) {
        this.self = self;
        this.store = store;
        this.timer = timer;
        this.events = events;
    }

    /** Returns the record that is registered. */
    public InstanceRecord self() {
        return self;
    }

    /** Returns whether the store has confirmed the registration. */
    public boolean isRegistered() {
        return isRegistered;
    }

    /** Registers this process and retries until the store confirms it. */
    public void register() {
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

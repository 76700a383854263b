package org.jasminehub.gateway;

import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/**
 * Handles SIGHUP, which ends a JVM without a handler, from the first moment of a process.
 *
 * <p>A signal that arrives before the action is known runs it once it is set. Thread-safe.
 */
final class ReloadSignal {
    private @Nullable Runnable action;
    private boolean isPending;

    private ReloadSignal() {}

    /** Registers the handler. */
    static ReloadSignal register() {
        ReloadSignal reload = new ReloadSignal();
        Signal.handle(new Signal("HUP"), signal -> reload.onSignal());
        return reload;
    }

    /** Sets what each signal runs. */
    synchronized void setAction(Runnable newAction) {
        action = newAction;
        if (isPending) {
            isPending = false;
            newAction.run();
        }
    }

    private synchronized void onSignal() {
        if (action == null) {
            isPending = true;
        } else {
            action.run();
        }
    }
}

package org.jasminehub.entry.control;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The one thread on which controllers change the state; any thread may read the state.
 *
 * <pre>{@code
 * control.execute(() -> control.update(state -> state.withMembers(members)));
 * }</pre>
 *
 * <p>{@link #update} must be called on this thread only; the other methods are safe for use by several threads.
 */
public final class ControlThread implements Executor, AutoCloseable {
    private volatile ControlState state = ControlState.empty();

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control");
        thread.setDaemon(true);
        return thread;
    });

    /** Returns the newest state. */
    public ControlState state() {
        return state;
    }

    /** Publishes the state that {@code change} makes of the present one. */
    public void update(UnaryOperator<ControlState> change) {
        state = change.apply(state);
    }

    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            // The instance is stopping: nothing that arrives now can change what it does.
        }
    }

    /** Runs {@code task} now and then {@code intervalMillis} after each run. */
    public void repeat(Runnable task, long intervalMillis) {
        executor.scheduleWithFixedDelay(task, 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}

package org.jasminehub.entry.control;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The single thread on which controllers change the state. Any thread may read the state.
 *
 * <pre>{@code
 * control.execute(() -> control.update(state -> state.withMembers(members)));
 * }</pre>
 *
 * <p>{@link #update} must be called on this thread only; the other methods are thread-safe.
 */
public final class ControlThread implements Executor, AutoCloseable {
    private volatile ControlState state = ControlState.empty();

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control");
        thread.setDaemon(true);
        return thread;
    });

    /** Returns the latest state. */
    public ControlState state() {
        return state;
    }

    /** Replaces the state by the result of applying {@code change} to it. */
    public void update(UnaryOperator<ControlState> change) {
        state = change.apply(state);
    }

    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(() -> runReported(task));
        } catch (RejectedExecutionException e) {
            // The instance is stopping, so the task no longer matters.
        }
    }

    /**
     * Runs {@code task} at once, and then again {@code intervalMillis} after the end of each run, also after one that
     * failed.
     */
    public void runPeriodically(Runnable task, long intervalMillis) {
        executor.scheduleWithFixedDelay(() -> runReported(task), 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs {@code task}; the executor would keep an exception to itself and run a periodic task never again. */
    private static void runReported(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Thread current = Thread.currentThread();
            current.getUncaughtExceptionHandler().uncaughtException(current, e);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}

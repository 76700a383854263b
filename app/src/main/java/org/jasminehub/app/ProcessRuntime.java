package org.jasminehub.app;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.runtime.log.EventLog;
import org.jasminehub.runtime.time.SystemClock;
import org.jasminehub.wire.WireGroup;

/** The shared services of one process: actor system, transport threads, clock, event log and metrics. */
public final class ProcessRuntime implements AutoCloseable {
    private static final int WIRE_THREADS = 2;

    private final ActorSystem<Void> system;
    private final WireGroup group = new WireGroup(WIRE_THREADS);
    private final Clock clock = new SystemClock();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventSink events;

    /** Starts the threads of a process whose log lines carry the name {@code instance}. */
    public ProcessRuntime(String instance) {
        this.system = ActorSystem.create(Behaviors.empty(), "jasminehub");
        this.events = new EventLog(instance);
    }

    /** Returns the actor system. */
    public ActorSystem<Void> system() {
        return system;
    }

    /** Returns the transport threads. */
    public WireGroup group() {
        return group;
    }

    /** Returns the system clock. */
    public Clock clock() {
        return clock;
    }

    /** Returns the event log. */
    public EventSink events() {
        return events;
    }

    /** Returns the metrics. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Starts a program and blocks until the process is terminated.
     *
     * <p>Callers may be connected before the start is complete, so a termination during the start waits for its end and
     * then stops the program as usual.
     *
     * @param start starts the program and returns the action that stops it, which runs in a shutdown hook
     */
    static void runUntilTermination(Supplier<Runnable> start) {
        CompletableFuture<Runnable> stop = new CompletableFuture<>();
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    stop.join().run();
                    stopped.countDown();
                },
                "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            stop.complete(start.get());
        } finally {
            // After a failed start there is nothing to stop.
            stop.complete(() -> {});
        }
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
        group.close();
    }
}

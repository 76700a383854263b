package org.jasminehub.app;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CountDownLatch;
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

    /** Blocks until the process is terminated, and runs {@code stop} in a shutdown hook. */
    static void awaitTermination(Runnable stop) {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    stop.run();
                    stopped.countDown();
                },
                "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
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

package org.jasminehub.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * One seeded run with instances as processes of their own: each is reloaded, stopped and started again in turn, while
 * callers use every connection until it ends.
 */
final class ProcessSoakRun implements SoakLoad {
    /** The grace time of the deployments that the gateway runs on. */
    private static final double GRACE_SECONDS = 8;

    private static final int ENDPOINTS = 4;
    private static final int MAX_ARRIVALS = 20_000;

    private final long seed;
    private final int instances;
    private final int callers;
    private final int lives;
    private final Path directory;
    private final long startNanos = System.nanoTime();
    private final SplittableRandom random;
    private final Map<String, SoakCall> callsById = new ConcurrentHashMap<>();
    private final List<GatewayProcess> processes = new CopyOnWriteArrayList<>();
    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final EventLoop storeLoop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory())
            .next();
    private final InMemoryStore store = new InMemoryStore(storeLoop);
    private final List<Long> stopMillis = new CopyOnWriteArrayList<>();
    private volatile boolean isOver;

    /**
     * Creates a run.
     *
     * @param instances how many instances run at a time
     * @param lives how many processes each instance has in turn
     * @param directory where settings and logs are written
     */
    ProcessSoakRun(long seed, int instances, int callers, int lives, Path directory) {
        this.seed = seed;
        this.instances = instances;
        this.callers = callers;
        this.lives = lives;
        this.directory = directory;
        this.random = new SplittableRandom(seed);
    }

    /** Runs until all processes have ended; returns all violated invariants. */
    List<String> execute() throws IOException {
        for (int index = 0; index < ENDPOINTS; index++) {
            ScriptedEndpoint endpoint = new ScriptedEndpoint(new ConcurrentLinkedQueue<>(Collections.nCopies(
                    MAX_ARRIVALS, new SoakReply(seed, SoakFaults.faulty(GRACE_SECONDS), callsById))));
            endpoints.add(endpoint);
            GatewayHarness.putRegistration(store, "a", "e-" + index, endpoint.port(), "ready", 1);
        }
        GatewayHarness.putConfiguration(store, 1, SoakGateway.KEY);
        List<Thread> operators = new ArrayList<>();
        for (int index = 0; index < instances; index++) {
            String name = "s" + seed + "-g" + index;
            SplittableRandom own = random.split();
            operators.add(startThread("operator-" + name, () -> operate(name, own)));
        }
        GatewayHarness.await(() -> !processes.isEmpty());
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < callers; index++) {
            SplittableRandom own = random.split();
            threads.add(startThread(
                    "caller-" + index, new SoakCaller("s" + seed + "-c" + index, this, own, CallerManner.any(own))));
        }
        operators.forEach(ProcessSoakRun::join);
        isOver = true;
        threads.forEach(ProcessSoakRun::join);
        violations.addAll(SoakInvariants.violations(callsById.values()));
        System.out.println("seed " + seed + ": " + SoakInvariants.summary(callsById.values()) + ", " + processes.size()
                + " processes, stopped after " + stopMillis + " ms, " + violations.size() + " violations");
        violations.forEach(System.out::println);
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        store.close();
        storeLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        return violations;
    }

    /** Starts and stops the processes of one instance in turn, with signals at any time. */
    private void operate(String name, SplittableRandom own) {
        pause(own.nextInt(1_500));
        for (int life = 0; life < lives; life++) {
            GatewayProcess process = start(name);
            processes.add(process);
            if (own.nextInt(3) == 0) {
                // While the program starts.
                pause(own.nextInt(600));
                process.reload();
            }
            if (own.nextInt(6) != 0 && process.awaitListening()) {
                pause(500 + own.nextInt(4_000));
            }
            reload(process, own);
            if (process.isEnded()) {
                violations.add("invariant 6: " + process.describe() + " ended by itself with code " + process.exitCode()
                        + ": " + process.log());
                continue;
            }
            process.terminate();
            reload(process, own);
            if (own.nextInt(3) == 0) {
                process.terminate();
            }
            process.awaitEnd();
            stopMillis.add(TimeUnit.NANOSECONDS.toMillis(process.endedNanos() - process.signalNanos()));
            if (process.isKilled()) {
                violations.add("invariant 7: " + process.describe() + " outlived its grace time: "
                        + String.join("\n", process.log()));
            }
            pause(own.nextInt(500));
        }
    }

    private static void reload(GatewayProcess process, SplittableRandom own) {
        for (int count = own.nextInt(3); count > 0; count--) {
            pause(own.nextInt(300));
            process.reload();
        }
    }

    private GatewayProcess start(String name) {
        try {
            // From a pipe, so that no signal arrives before the program runs.
            return GatewayProcess.startFromPipe(
                    name, GatewayProcess.nextHost(), GRACE_SECONDS, store.address(), directory, process -> {});
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public boolean isOver() {
        return isOver;
    }

    @Override
    public SoakGateway pick(SplittableRandom callerRandom) {
        List<GatewayProcess> running =
                processes.stream().filter(process -> !process.isEnded()).toList();
        List<GatewayProcess> candidates = running.isEmpty() ? processes : running;
        return candidates.get(callerRandom.nextInt(candidates.size()));
    }

    @Override
    public SoakCall newCall(
            String id, SoakCall.Kind kind, SoakGateway gateway, int eventCount, @Nullable SoakCall pipelinedAfter) {
        SoakCall call = new SoakCall(id, kind, gateway, eventCount, pipelinedAfter, startNanos);
        callsById.put(id, call);
        return call;
    }

    private static Thread startThread(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static void pause(int millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}

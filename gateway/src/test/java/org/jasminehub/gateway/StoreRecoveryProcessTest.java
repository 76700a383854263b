package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Collections;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a withdrawn key that a process accepts after an outage of the store, and against calls that are refused in
 * calm times because the logs never stand still. Reports how long a process needs after the outage; nothing is asserted
 * about it.
 *
 * <p>{@code -Djasminehub.recovery.runs=5} repeats the outages, {@code -Djasminehub.soak.jar=FILE} runs the packaged program.
 */
final class StoreRecoveryProcessTest {
    private static final int RUNS = Integer.getInteger("jasminehub.recovery.runs", 1);
    private static final String KEY = SoakGateway.KEY;
    private static final String NEXT_KEY = "key-2";
    private static final int VERSIONS = 24;
    private static final int MAX_CALLS = 100_000;

    /** Longer than a process uses a configuration that it cannot confirm. */
    private static final long OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(7);
    private static final int REGISTRATIONS_PER_SECOND = 500;
    private static final int REGISTRATIONS_PER_OTHER = 10;
    private static final long CALL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    @TempDir
    Path directory;

    private final EventLoop storeLoop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory())
            .next();
    private final InMemoryStore store = new InMemoryStore(storeLoop);
    private final ScriptedEndpoint endpoint = new ScriptedEndpoint(
            new ConcurrentLinkedQueue<>(Collections.nCopies(MAX_CALLS, ScriptedEndpoint.ok("done"))));
    private GatewayProcess process;
    private int nextVersion = 1;

    StoreRecoveryProcessTest() throws IOException {
        GatewayHarness.putConfiguration(store, nextVersion++, KEY);
        GatewayHarness.putRegistration(store, "a", "e-1", endpoint.port(), "ready", 1);
    }

    @AfterEach
    void stop() throws IOException {
        process.kill();
        endpoint.close();
        store.close();
        storeLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void startProcess() throws IOException {
        process = GatewayProcess.start("entry-1", GatewayProcess.nextHost(), 1, store.address(), directory);
        assertTrue(process.awaitReady());
        GatewayHarness.await(() -> isServed(KEY));
    }

    private boolean isServed(String key) {
        try (Socket socket = process.connect()) {
            ScriptedEndpoint.write(
                    socket,
                    GatewayHarness.request("GET", "/safe/x", "r-1", key, "")
                            .replaceFirst("\r\n", "\r\nConnection: close\r\n"));
            return GatewayHarness.readAll(socket.getInputStream()).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            throw new AssertionError(process.describe(), e);
        }
    }

    /** Prints the time from the return of the store to the first call served with the key of the last version. */
    private void recover(int versionBytes, String oldKey, String newKey) {
        store.setDown(true);
        for (int version = 1; version < VERSIONS; version++) {
            GatewayHarness.putLargeConfiguration(store, nextVersion++, oldKey, versionBytes);
        }
        GatewayHarness.putLargeConfiguration(store, nextVersion++, newKey, versionBytes);
        LockSupport.parkNanos(OUTAGE_NANOS);
        store.setDown(false);
        long startNanos = System.nanoTime();
        int servedWithOldKey = 0;
        while (!isServed(newKey)) {
            servedWithOldKey += isServed(oldKey) ? 1 : 0;
            assertTrue(System.nanoTime() - startNanos < GatewayHarness.TIMEOUT.toNanos(), process.describe());
            LockSupport.parkNanos(CALL_PAUSE_NANOS);
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        System.out.println(VERSIONS + " versions of " + versionBytes + " bytes: " + millis + " ms");
        assertEquals(0, servedWithOldKey, "calls served with a withdrawn key");
    }

    @ParameterizedTest
    @ValueSource(ints = {125_000, 250_000})
    void testAWithdrawnKeyIsNotServedAfterAnOutageWithManyVersions(int versionBytes) throws IOException {
        startProcess();
        for (int run = 0; run < RUNS; run++) {
            boolean isEven = run % 2 == 0;
            recover(versionBytes, isEven ? KEY : NEXT_KEY, isEven ? NEXT_KEY : KEY);
        }
    }

    /** Appends registrations of endpoints that change all the time, and records of the operator that are no version. */
    private void appendWithoutPause() {
        for (int number = 1; !Thread.currentThread().isInterrupted(); number++) {
            GatewayHarness.putRegistration(
                    store, "a", "other-" + number % REGISTRATIONS_PER_SECOND, 1, "draining", number);
            if (number % REGISTRATIONS_PER_OTHER == 0) {
                store.put("keyed.op", "note", Integer.toString(number));
            }
            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1) / REGISTRATIONS_PER_SECOND);
        }
    }

    @Test
    void testCallsAreServedWhileRecordsAreAppendedAllTheTime() throws Exception {
        startProcess();
        Thread writer = new Thread(this::appendWithoutPause, "writer");
        writer.setDaemon(true);
        writer.start();
        long endNanos = System.nanoTime() + CALM_NANOS;
        int calls = 0;
        while (System.nanoTime() < endNanos) {
            calls++;
            assertTrue(isServed(KEY), "call " + calls);
            LockSupport.parkNanos(CALL_PAUSE_NANOS);
        }
        writer.interrupt();
        writer.join();
        System.out.println(calls + " calls served while records were appended");
    }
}

package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts a process on a small machine and checks what must hold while clients that do not behave are connected to it:
 * it lives, keeps within the memory and the descriptors of the machine, and answers ordinary clients.
 */
abstract class LimitedProcessFixture {
    /** What the machine gives the process. Fewer than usual, so that a small crowd reaches the limit. */
    static final int DESCRIPTORS = 800;

    /** Enough for a slow machine to read what the largest crowd sends. */
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(120);

    @TempDir
    Path directory;

    final String host = GatewayProcess.nextHost();
    private final EventLoop storeLoop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory())
            .next();
    final InMemoryStore store = new InMemoryStore(storeLoop);
    private final long memoryBytes;
    private LimitedProcess process;
    private int mostDescriptors;

    /** Creates a fixture whose process may use {@code memoryMegabytes} of its machine. */
    LimitedProcessFixture(long memoryMegabytes) {
        this.memoryBytes = memoryMegabytes << 20;
    }

    /** Starts the program for {@code role} and waits until it serves ordinary clients. */
    void startProcess(String role, int heapMegabytes, String settings) throws IOException {
        process = LimitedProcess.start(role, settings, heapMegabytes, DESCRIPTORS, directory);
        awaitServing(this::isServing);
    }

    /** Returns whether the process answers an ordinary request at each of its ports. */
    abstract boolean isServing();

    /** Returns whether the process serves the largest request that it accepts, as it does without a crowd. */
    abstract boolean isServingLargeRequest();

    @AfterEach
    void stopProcess() {
        process.close();
        storeLoop.submit(store::close).awaitUninterruptibly();
        storeLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    Socket connect(int port) throws IOException {
        return SoakGateway.open(new InetSocketAddress(host, port), 0);
    }

    /** Connects {@code size} clients to {@code port}, checks the process beside them and after they have gone. */
    void checkBeside(int size, int port, ClientCrowd.Script script) throws IOException {
        try (ClientCrowd crowd = new ClientCrowd(size, () -> connect(port), script)) {
            GatewayHarness.await(SETTLE_TIMEOUT, () -> {
                boolean isSettled = crowd.isSettled();
                countDescriptors();
                return isSettled || !process.isAlive();
            });
            // An ordinary client is served after the process has accepted the connections before it.
            awaitServing(this::isServing);
            countDescriptors();
        }
        awaitServing(this::isServingLargeRequest);
        assertEquals(List.of(), process.memoryErrors());
        assertTrue(process.peakMemoryBytes() <= memoryBytes, "resident bytes: " + process.peakMemoryBytes());
        assertTrue(mostDescriptors <= DESCRIPTORS, "descriptors: " + mostDescriptors);
    }

    private void countDescriptors() {
        mostDescriptors = Math.max(mostDescriptors, process.openDescriptors());
    }

    /** Waits until an ordinary client is served; one that is refused may try again. */
    private void awaitServing(BooleanSupplier isServed) {
        GatewayHarness.await(() -> !process.isAlive() || isServed.getAsBoolean());
        assertTrue(process.isAlive(), () -> "the process ended: " + process.memoryErrors());
    }
}

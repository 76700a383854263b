package org.jasminehub.agent.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.lease.LeaseManager;
import org.jasminehub.core.lease.LeaseRecord;
import org.jasminehub.core.lease.LeaseRecordCodec;
import org.jasminehub.core.lease.LeaseTimings;
import org.jasminehub.core.lease.OrderGate;
import org.jasminehub.core.lease.ShardId;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.platform.log.HttpLogService;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogService;
import org.jasminehub.standin.LogStandin;
import org.jasminehub.wire.ControlRouter;
import org.jasminehub.wire.PeerListener;
import org.jasminehub.wire.WireClient;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.WireProtocol;
import org.jasminehub.wire.WireServer;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.OrderReply;
import org.jasminehub.wire.generated.OrderRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests fencing with lease holders, a log, an agent and an engine that ignores fencing numbers. The connections are
 * real sockets; only the time is simulated.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class OrderFilterTest {
    private static final ShardId SHARD = new ShardId("shard-0");
    private static final long INCARNATION = 7;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final long EXPIRY_MILLIS =
            LeaseTimings.STANDARD.durationMillis() + LeaseTimings.STANDARD.guardMillis();

    private final ManualClock clock = new ManualClock(0);
    private final AtomicLong nonces = new AtomicLong();
    private final List<Long> receivedByEngine = Collections.synchronizedList(new ArrayList<>());
    private final OrderGate gate = new OrderGate(INCARNATION, event -> {});
    private ActorSystem<Void> system;
    private WireGroup group;
    private LogStandin log;
    private LogService logService;
    private WireServer agent;
    private WireClient client;
    private Holder first;
    private Holder second;

    @BeforeEach
    void start() {
        system = ActorSystem.create(Behaviors.empty(), "test");
        group = new WireGroup(1);
        log = new LogStandin(system, 0);
        logService = new HttpLogService(system, log.address(), TIMEOUT_MILLIS);
        agent = startAgent(gate);
        client = new WireClient(group, "127.0.0.1", agent.port(), () -> hello("entry-1"), new NoOpListener());
        first = new Holder("entry-1");
        second = new Holder("entry-2");
    }

    @AfterEach
    void stop() {
        client.close();
        agent.close();
        log.close();
        system.terminate();
        group.close();
    }

    @Test
    void testOrderOfHolderPausedBeyondItsLeaseIsRefused() {
        readFencingNumbers(gate);
        clock.advanceMillis(EXPIRY_MILLIS);
        first.claim();
        long pausedNumber = first.number();
        assertTrue(order(pausedNumber).getAccepted());

        clock.advanceMillis(EXPIRY_MILLIS);
        second.claim();
        assertTrue(order(second.number()).getAccepted());

        OrderReply afterResume = order(pausedNumber);
        assertFalse(afterResume.getAccepted());
        assertEquals(ErrorCode.ORDER_FENCED.code(), afterResume.getCode());
        assertEquals(second.number(), afterResume.getNewestFencingNumber());
        assertEquals(List.of(pausedNumber, second.number()), receivedByEngine);
        assertFalse(first.holds());
    }

    @Test
    void testNewlyStartedAgentRefusesOrderWithOldNumber() {
        clock.advanceMillis(EXPIRY_MILLIS);
        first.claim();
        clock.advanceMillis(EXPIRY_MILLIS);
        second.claim();

        assertEquals(ErrorCode.NOT_READY.code(), order(first.claimedNumber).getCode());
        readFencingNumbers(gate);
        assertEquals(ErrorCode.ORDER_FENCED.code(), order(first.claimedNumber).getCode());
        assertTrue(order(second.number()).getAccepted());
        assertEquals(List.of(second.number()), receivedByEngine);
    }

    @Test
    void testOrdersAreRefusedWhileLogIsDown() {
        log.setDown(true);
        CompletableFuture<Void> reading = reader(gate).read().toCompletableFuture();
        assertEquals(
                true,
                reading.handle((done, failure) -> failure instanceof CompletionException)
                        .join());
        assertEquals(ErrorCode.NOT_READY.code(), order(1).getCode());
    }

    @Test
    void testClaimWithLostResponseIsFoundInLog() {
        log.loseResponses(1);
        clock.advanceMillis(EXPIRY_MILLIS);
        first.claim();
        assertTrue(first.holds());
        assertEquals(1, log.nextOffset());
    }

    private WireServer startAgent(OrderGate targetGate) {
        ControlRouter router = new ControlRouter();
        router.on(ControlRequest.BodyCase.ORDER, new OrderFilter(targetGate, order -> {
            receivedByEngine.add(order.getFencingNumber());
            return CompletableFuture.completedFuture(
                    OrderReply.newBuilder().setAccepted(true).build());
        }));
        return WireServer.start(
                group,
                "127.0.0.1",
                0,
                () -> hello("agent-1"),
                call -> call.refuse(AnswerRefused.newBuilder()),
                router,
                event -> {});
    }

    private FencingNumberReader reader(OrderGate targetGate) {
        return new FencingNumberReader(logService, targetGate, List.of(SHARD));
    }

    private void readFencingNumbers(OrderGate targetGate) {
        reader(targetGate).read().toCompletableFuture().join();
    }

    private OrderReply order(long number) {
        OrderRequest request = OrderRequest.newBuilder()
                .setShard(SHARD.value())
                .setFencingNumber(number)
                .setIncarnation(INCARNATION)
                .build();
        return client.request(ControlRequest.newBuilder().setOrder(request), TIMEOUT_MILLIS)
                .join()
                .getOrder();
    }

    private static Hello hello(String instance) {
        return Hello.newBuilder()
                .setProtocolVersion(WireProtocol.VERSION)
                .setInstance(instance)
                .setIncarnation(INCARNATION)
                .build();
    }

    /**
     * The lease handling of an entry instance: reads the log, appends due records and knows whether it holds the lease.
     */
    private final class Holder {
        private final LeaseRecordCodec codec = new LeaseRecordCodec();
        private final LeaseManager manager;
        private long nextOffset;
        private long claimedNumber;

        Holder(String name) {
            manager = new LeaseManager(
                    new InstanceId(name),
                    1,
                    List.of(SHARD),
                    LeaseTimings.STANDARD,
                    nonces::incrementAndGet,
                    0,
                    event -> {},
                    clock.monotonicMillis());
        }

        void claim() {
            read();
            clock.advanceMillis(EXPIRY_MILLIS);
            for (LeaseRecord dueRecord : manager.poll(shard -> 0, clock.monotonicMillis())) {
                logService
                        .append(codec.encode(dueRecord))
                        .handle((offset, failure) -> offset)
                        .toCompletableFuture()
                        .join();
            }
            read();
            claimedNumber = number();
        }

        long number() {
            return manager.heldFencingNumber(SHARD, clock.monotonicMillis()).orElseThrow();
        }

        boolean holds() {
            return manager.heldFencingNumber(SHARD, clock.monotonicMillis()).isPresent();
        }

        private void read() {
            LogPage page =
                    logService.read(nextOffset, 100, 0).toCompletableFuture().join();
            page.records().forEach(logRecord -> {
                codec.decode(logRecord.payload())
                        .ifPresent(lease -> manager.onRecordRead(logRecord.offset(), lease, clock.monotonicMillis()));
                nextOffset = logRecord.offset() + 1;
            });
            manager.advanceTo(nextOffset);
        }
    }

    private static final class NoOpListener implements PeerListener {
        @Override
        public void onHello(Hello hello) {}

        @Override
        public void onLoad(EndpointLoad load) {}

        @Override
        public void onDisconnected() {}
    }
}

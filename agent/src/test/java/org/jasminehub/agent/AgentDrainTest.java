package org.jasminehub.agent;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.operation.AgentIncarnation;
import org.jasminehub.core.operation.GuardDecision;
import org.jasminehub.core.operation.HomeTable;
import org.jasminehub.core.operation.OperationDigest;
import org.jasminehub.core.operation.OperationId;
import org.jasminehub.core.operation.OperationMessage;
import org.jasminehub.core.operation.OperationMessageCodec;
import org.jasminehub.core.operation.OperationTicket;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.standin.BookingStandin;
import org.jasminehub.wire.PeerListener;
import org.jasminehub.wire.ResponseListener;
import org.jasminehub.wire.WireClient;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.WireProtocol;
import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.AnswerEnd;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Header;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.TicketRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the graceful stop of an agent whose service runs an operation. */
@Timeout(60)
final class AgentDrainTest {
    private static final String HOST = "127.0.0.1";
    private static final Target BOOKINGS = Target.service("bookings");
    private static final ByteString BODY = ByteString.copyFromUtf8("{}");
    private static final OperationId OPERATION = new OperationId(new WorkspaceId("cooperative"), "bookings", "key");
    private static final long POLL_NANOS = 5_000_000;

    /** Longer than entry instances need to learn that an agent is leaving. */
    private static final long ANNOUNCED_MILLIS = 4_000;

    /** Interval of the drain's own checks, several of which happen in this many ticks. */
    private static final Duration TICK = Duration.ofMillis(50);

    private static final int TICKS = 5;

    private final ManualClock clock = new ManualClock(0);
    private ActorSystem<Void> system;
    private WireGroup group;
    private BookingStandin bookings;
    private Agent agent;

    @BeforeEach
    void start() {
        system = ActorSystem.create(Behaviors.empty(), "test");
        group = new WireGroup(2);
        bookings = new BookingStandin(system, 0);
        AgentSettings settings = new AgentSettings("a-1", "sul-a", HOST, 0, 0, BOOKINGS, bookings.address(), 100);
        agent = new Agent(settings, system, group, clock, event -> {}, new MetricRegistry());
    }

    @AfterEach
    void stop() {
        agent.close();
        bookings.close();
        group.close();
        system.terminate();
    }

    /** Guards against operations whose results are lost with the process, so that a retry cannot learn its outcome. */
    @Test
    void testAnOperationThatStillRunsIsAwaitedAlthoughItsCallerIsGone() throws Exception {
        bookings.holdResponses();
        WireClient entry = connect();
        entry.call(book(ticket(entry)), new IgnoredResponse());
        await(() -> bookings.bookings().size() == 1);
        entry.close();
        await(() -> agent.runningCalls() == 0);

        AtomicBoolean isReleased = new AtomicBoolean();
        CompletableFuture<Boolean> wasReleased =
                agent.drain().toCompletableFuture().thenApply(done -> isReleased.get());
        clock.advanceMillis(ANNOUNCED_MILLIS);
        awaitTicks();
        isReleased.set(true);
        bookings.releaseResponses();

        assertTrue(wasReleased.join(), "the process would end before the operation");
    }

    private void awaitTicks() throws InterruptedException {
        CountDownLatch ticks = new CountDownLatch(TICKS);
        Cancellable timer =
                system.scheduler().scheduleAtFixedRate(TICK, TICK, ticks::countDown, system.executionContext());
        ticks.await();
        timer.cancel();
    }

    private WireClient connect() {
        Hello hello =
                Hello.newBuilder().setProtocolVersion(WireProtocol.VERSION).build();
        return new WireClient(group, HOST, agent.wirePort(), () -> hello, new IgnoringPeer());
    }

    /** Makes the agent the home of all keys and returns its ticket for the operation. */
    private OperationTicket ticket(WireClient entry) {
        HomeTable table =
                new HomeTable("bookings", 1, List.of(new AgentIncarnation(new InstanceId("a-1"), clock.wallMillis())));
        send(entry, new OperationMessage.ShowTables(List.of(table), 1, clock.monotonicMillis()));
        String digest = OperationDigest.of("POST", "/trips", BODY.toByteArray());
        OperationMessage decided = send(entry, new OperationMessage.AskTicket(OPERATION, digest));
        GuardDecision decision =
                assertInstanceOf(OperationMessage.Decided.class, decided).decision();
        return assertInstanceOf(GuardDecision.TicketGranted.class, decision).ticket();
    }

    private static OperationMessage send(WireClient entry, OperationMessage message) {
        ControlRequest.Builder request = ControlRequest.newBuilder()
                .setTicket(TicketRequest.newBuilder().setIdempotencyKey(OperationMessageCodec.write(message)));
        String reply = entry.request(request, 30_000).join().getTicket().getTicket();
        return OperationMessageCodec.read(reply).orElseThrow();
    }

    private static CallStart.Builder book(OperationTicket ticket) {
        return CallStart.newBuilder()
                .setRequestId("r-1")
                .setWorkspace("cooperative")
                .setTeam("team")
                .setDocumentVersion(1)
                .setMethod("POST")
                .setPath("/trips")
                .setBody(BODY)
                .setInitialCredit(1)
                .setRemainingMillis(30_000)
                .addHeaders(Header.newBuilder()
                        .setName(OperationTicket.HEADER)
                        .setValue(OperationMessageCodec.writeTicket(ticket)));
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (Thread.currentThread().isInterrupted()) {
                throw new AssertionError("interrupted while waiting for a condition");
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static final class IgnoringPeer implements PeerListener {
        @Override
        public void onHello(Hello hello) {}

        @Override
        public void onLoad(EndpointLoad load) {}

        @Override
        public void onDisconnected() {}
    }

    private static final class IgnoredResponse implements ResponseListener {
        @Override
        public void onHead(AnswerHead head) {}

        @Override
        public void onChunk(AnswerChunk chunk) {}

        @Override
        public void onEnd(AnswerEnd end) {}

        @Override
        public void onRefused(AnswerRefused refusal) {}

        @Override
        public void onConnectionLost(boolean sent) {}
    }
}

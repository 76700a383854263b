package org.jasminehub.entry.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.retry.OutlierPolicy;
import org.jasminehub.core.retry.OutlierSettings;
import org.jasminehub.core.routing.EndpointTracker;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.wire.ControlRouter;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.WireProtocol;
import org.jasminehub.wire.WireServer;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class EndpointDirectoryTest {
    private static final Target MODEL = Target.model("campaign-text");

    private final ManualClock clock = new ManualClock(0);
    private final BlockingQueue<String> peerMessages = new LinkedBlockingQueue<>();
    private WireGroup group;
    private EndpointDirectory directory;

    @BeforeEach
    void start() {
        group = new WireGroup(1);
        directory = new EndpointDirectory(
                group,
                () -> hello(1),
                new EndpointTracker(clock),
                new OutlierPolicy(clock, OutlierSettings.defaults(), event -> {}),
                new LinkObserver() {
                    @Override
                    public void onPeerMessage(Hello hello) {
                        peerMessages.add("heard");
                    }

                    @Override
                    public void onConnectionFailed(InstanceId id) {}
                });
    }

    @AfterEach
    void stop() {
        directory.close();
        group.close();
    }

    private static Hello hello(long incarnation) {
        return Hello.newBuilder()
                .setProtocolVersion(WireProtocol.VERSION)
                .setInstance("text-1")
                .setIncarnation(incarnation)
                .build();
    }

    private WireServer agent(long incarnation) {
        return WireServer.start(
                group, "127.0.0.1", 0, () -> hello(incarnation), call -> {}, new ControlRouter(), event -> {});
    }

    private static Member memberAt(WireServer server) {
        return new Member(
                new InstanceId("text-1"),
                MemberRole.AGENT,
                MemberState.LIVE,
                new FailureDomain("sul-a"),
                "127.0.0.1",
                server.port(),
                0,
                List.of(MODEL));
    }

    private boolean isAccepting() {
        return directory.usable(MODEL).get(0).state(0).load().accepting();
    }

    @Test
    void testReportOfAnEarlierIncarnationIsDiscarded() throws InterruptedException {
        try (WireServer first = agent(1);
                WireServer second = agent(2)) {
            directory.update(List.of(memberAt(first)));
            peerMessages.take();
            first.broadcastLoad(EndpointLoad.newBuilder().setAccepting(false).build());
            peerMessages.take();
            assertFalse(isAccepting());
            directory.update(List.of(memberAt(second)));
            peerMessages.take();
            assertEquals(1, directory.usable(MODEL).size());
            assertTrue(isAccepting());
        }
    }
}

package org.jasminehub.entry.endpoint;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.retry.OutlierPolicy;
import org.jasminehub.core.routing.EndpointState;
import org.jasminehub.core.routing.EndpointTracker;
import org.jasminehub.core.routing.LoadReport;
import org.jasminehub.wire.AnswerListener;
import org.jasminehub.wire.OutgoingCall;
import org.jasminehub.wire.PeerListener;
import org.jasminehub.wire.WireClient;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Hello;

/** The connection to one agent and what it last reported. Safe for use by several threads. */
public final class EndpointLink implements AutoCloseable {
    private final EndpointId id;
    private final EndpointTracker tracker;
    private final OutlierPolicy outliers;
    private final LinkObserver observer;
    private final WireClient client;
    private final AtomicInteger outstanding = new AtomicInteger();
    private volatile Member member;
    private volatile Hello peer = Hello.getDefaultInstance();
    private volatile boolean connected;

    EndpointLink(
            Member member,
            WireGroup group,
            Supplier<Hello> hello,
            EndpointTracker tracker,
            OutlierPolicy outliers,
            LinkObserver observer) {
        this.id = new EndpointId(member.id().value());
        this.member = member;
        this.tracker = tracker;
        this.outliers = outliers;
        this.observer = observer;
        this.client = new WireClient(group, member.host(), member.wirePort(), hello, new Listener());
    }

    /** Returns the endpoint's name, which is that of its agent's instance. */
    public EndpointId id() {
        return id;
    }

    /** Returns the agent as the list last showed it. */
    public Member member() {
        return member;
    }

    /** Returns what the agent last said of itself; the default message before it said anything. */
    public Hello peer() {
        return peer;
    }

    /** Returns whether new work may be sent: connected, and leaving neither by the list nor by its own word. */
    public boolean isUsable() {
        return connected && member.isLive() && !peer.getLeaving();
    }

    /** Returns what is known for a choice; {@code prefixHitTokens} is the caller's estimate. */
    public EndpointState state(long prefixHitTokens) {
        return tracker.state(id, member.failureDomain(), prefixHitTokens);
    }

    /** Starts a call that is expected to cost {@code workTokens}; the caller must call {@link #callEnded} once. */
    public OutgoingCall call(CallStart.Builder start, long workTokens, AnswerListener listener) {
        outstanding.incrementAndGet();
        tracker.recordSent(id, workTokens);
        return client.call(start, listener);
    }

    /** Notes that a call started with {@link #call} has ended. */
    public void callEnded() {
        outstanding.decrementAndGet();
        tracker.recordFinished(id);
    }

    /** Notes whether an attempt that ran here gave its whole answer; a refusal as not run is neither. */
    public void recordAttempt(boolean succeeded) {
        outliers.record(id, succeeded);
    }

    /** Notes how long the first part of an answer took against its estimate. */
    public void recordFirstToken(double estimateMillis, double observedMillis) {
        tracker.recordFirstToken(id, estimateMillis, observedMillis);
    }

    /** Returns the connection, for control requests. */
    public WireClient client() {
        return client;
    }

    @Override
    public void close() {
        client.close();
    }

    void update(Member newMember) {
        member = newMember;
        client.connect();
    }

    /** Takes no new work from now on, unless the agent is seen again. */
    void retire() {
        member = member.withState(MemberState.LEAVING);
    }

    boolean isIdle() {
        return outstanding.get() == 0;
    }

    private static LoadReport toLoadReport(EndpointLoad report) {
        return new LoadReport(
                report.getQueuedTokens(),
                report.getRunningRequests(),
                report.getCapacityRequests(),
                report.getStepMillis(),
                report.getPrefillTokensPerSecond(),
                report.getAccepting());
    }

    private final class Listener implements PeerListener {
        @Override
        public void onHello(Hello hello) {
            forgetEarlierIncarnation(hello);
            peer = hello;
            connected = true;
            observer.onHeard(hello);
        }

        /** What an earlier incarnation reported, for example that it accepts nothing, says nothing of this one. */
        private void forgetEarlierIncarnation(Hello hello) {
            if (hello.getIncarnation() != peer.getIncarnation()) {
                tracker.forget(id);
                outliers.forget(id);
            }
        }

        @Override
        public void onLoad(EndpointLoad report) {
            tracker.recordReport(id, toLoadReport(report), report.getAgeMillis());
            observer.onHeard(peer);
        }

        @Override
        public void onDisconnected() {
            connected = false;
            observer.onBroken(member.id());
        }
    }
}

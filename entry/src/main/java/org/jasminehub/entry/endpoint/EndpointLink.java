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
import org.jasminehub.wire.OutgoingCall;
import org.jasminehub.wire.PeerListener;
import org.jasminehub.wire.ResponseListener;
import org.jasminehub.wire.WireClient;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Hello;

/** The connection to an agent, with the state that the agent last reported. Thread-safe. */
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

    /** Returns the id of the endpoint, which equals the instance id of its agent. */
    public EndpointId id() {
        return id;
    }

    /** Returns the agent as a member, as passed to the last update. */
    public Member member() {
        return member;
    }

    /** Returns the last hello message of the agent, or the default message if none was received. */
    public Hello peer() {
        return peer;
    }

    /**
     * Returns whether new work may be sent: the agent is connected, and neither its member state nor its last
     * hello message reports that it is leaving.
     */
    public boolean isUsable() {
        return connected && member.isLive() && !peer.getLeaving();
    }

    /**
     * Returns the state of the endpoint for endpoint selection.
     *
     * @param prefixHitTokens the caller's estimate of the prompt tokens that the endpoint has cached
     */
    public EndpointState state(long prefixHitTokens) {
        return tracker.state(id, member.failureDomain(), prefixHitTokens);
    }

    /**
     * Starts a call with the expected cost {@code workTokens}. {@link #callEnded} must be called once after it ended.
     */
    public OutgoingCall call(CallStart.Builder start, long workTokens, ResponseListener listener) {
        outstanding.incrementAndGet();
        tracker.recordSent(id, workTokens);
        return client.call(start, listener);
    }

    /** Records that a call started with {@link #call} has ended. */
    public void callEnded() {
        outstanding.decrementAndGet();
        tracker.recordFinished(id);
    }

    /**
     * Records whether an attempt at this endpoint succeeded, that is, returned a complete response. Must not be called
     * for an attempt that was refused without being run.
     */
    public void recordAttempt(boolean succeeded) {
        outliers.record(id, succeeded);
    }

    /** Records the estimated and the observed time to the first token of a response. */
    public void recordFirstToken(double estimateMillis, double observedMillis) {
        tracker.recordFirstToken(id, estimateMillis, observedMillis);
    }

    /** Returns the client for sending control requests. */
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

    /** Marks the agent as leaving, so that no new work is sent to it until the next {@link #update}. */
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
            resetOnNewIncarnation(hello);
            peer = hello;
            connected = true;
            observer.onPeerMessage(hello);
        }

        /**
         * Discards the recorded state if the agent was restarted. A report of the earlier incarnation, for example that
         * it accepts no work, does not apply to the new one.
         */
        private void resetOnNewIncarnation(Hello hello) {
            if (hello.getIncarnation() != peer.getIncarnation()) {
                tracker.forget(id);
                outliers.forget(id);
            }
        }

        @Override
        public void onLoad(EndpointLoad report) {
            tracker.recordReport(id, toLoadReport(report), report.getAgeMillis());
            observer.onPeerMessage(peer);
        }

        @Override
        public void onDisconnected() {
            connected = false;
            observer.onConnectionFailed(member.id());
        }
    }
}

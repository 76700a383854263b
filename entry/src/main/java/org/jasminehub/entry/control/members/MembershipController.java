package org.jasminehub.entry.control.members;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jasminehub.core.address.DomainDistance;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberFact;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.MemberStatus;
import org.jasminehub.core.membership.MembershipSettings;
import org.jasminehub.core.membership.MembershipView;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.control.ControlThread;
import org.jasminehub.entry.endpoint.LinkObserver;
import org.jasminehub.platform.list.InstanceListService;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.MemberReport;

/**
 * Publishes the members, merged from the platform's instance list, direct connections and reports of peers.
 *
 * <p>A member that accepts no new work for any reason is published as leaving. {@link #refresh} and
 * {@link #sendHeartbeat} must run on the control thread; the other methods are thread-safe.
 */
public final class MembershipController implements LinkObserver {
    private static final int MAX_REPORTS = 16;

    private final InstanceId self;
    private final Supplier<Hello> hello;
    private final ControlThread control;
    private final InstanceListService list;
    private final PeerLinks peers;
    private final Consumer<List<Member>> onAgents;
    private final Runnable broadcast;
    private final Clock clock;
    private final MembershipView view;
    private final WatchPolicy watchPolicy;
    private Set<InstanceId> watched = Set.of();
    private volatile List<MemberReport> reports = List.of();

    /**
     * Creates a controller without members.
     *
     * @param self this instance
     * @param hello supplies this instance's hello message; first called after the instance has started
     * @param control the control thread
     * @param list the platform's instance list
     * @param peers the connections to peers
     * @param distance the distances of failure domains from this instance
     * @param onAgents receives the watched agents after each change; called on the control thread
     * @param broadcast sends this instance's hello message to all peers that watch it
     * @param clock the clock
     * @param events receives events about membership changes
     */
    public MembershipController(
            InstanceId self,
            Supplier<Hello> hello,
            ControlThread control,
            InstanceListService list,
            PeerLinks peers,
            DomainDistance distance,
            Consumer<List<Member>> onAgents,
            Runnable broadcast,
            Clock clock,
            EventSink events) {
        this.self = self;
        this.hello = hello;
        this.control = control;
        this.list = list;
        this.peers = peers;
        this.onAgents = onAgents;
        this.broadcast = broadcast;
        this.clock = clock;
        this.view = new MembershipView(MembershipSettings.STANDARD, events);
        this.watchPolicy = new WatchPolicy(self, distance);
    }

    /** Reads the instance list and applies it when it arrives. If the read fails, the known members stay. */
    public void refresh() {
        list.fetch().thenAcceptAsync(this::accept, control);
    }

    /** Sends a heartbeat with membership reports to all peers that watch this instance, and detects silent members. */
    public void sendHeartbeat() {
        applyHello(hello.get());
        view.checkContacts(now());
        broadcastReports();
        publish();
    }

    /** Returns the membership reports that are included in this instance's hello messages. */
    public List<MemberReport> reports() {
        return reports;
    }

    @Override
    public void onPeerMessage(Hello peer) {
        control.execute(() -> applyHello(peer));
    }

    @Override
    public void onConnectionFailed(InstanceId instance) {
        control.execute(() -> handleBrokenConnection(instance));
    }

    /**
     * Publishes the members only if the broken connection changed them. Publishing reconnects lost connections, and a
     * refused connection breaks again immediately, so publishing each time would reconnect in a tight loop.
     */
    private void handleBrokenConnection(InstanceId instance) {
        boolean acceptedWork = acceptsNewWork(instance);
        view.onLinkBroken(instance);
        if (acceptedWork != acceptsNewWork(instance)) {
            publish();
        }
    }

    private void accept(List<Member> members) {
        view.onListRead(members, now());
        Set<InstanceId> selected = new HashSet<>(watchPolicy.choose(merged()));
        watched.stream().filter(this::isListedAndLeaving).forEach(selected::add);
        selected.add(self);
        watched = Set.copyOf(selected);
        view.watch(watched, now());
        publish();
    }

    private void applyHello(Hello peer) {
        Optional<MemberFact> fact = fact(peer.getInstance(), peer.getIncarnation(), peer.getLeaving());
        if (fact.isEmpty()) {
            return;
        }
        long digestBefore = view.digests().hashCode();
        boolean acceptedWork = acceptsNewWork(fact.get().id());
        view.onDirectFact(fact.get(), now());
        for (MemberReport report : peer.getMembersList()) {
            fact(report.getInstance(), report.getIncarnation(), report.getLeaving())
                    .ifPresent(view::onPeerFact);
        }
        boolean hasChanges = view.digests().hashCode() != digestBefore;
        if (hasChanges) {
            broadcastReports();
        }
        if (hasChanges || acceptedWork != acceptsNewWork(fact.get().id())) {
            publish();
        }
    }

    private void broadcastReports() {
        reports = view.nextGossip(MAX_REPORTS).stream()
                .map(MembershipController::report)
                .toList();
        broadcast.run();
    }

    private void publish() {
        List<Member> members = merged();
        control.update(state -> state.withMembers(members));
        List<Member> peersWatched = new ArrayList<>();
        List<Member> agentsWatched = new ArrayList<>();
        for (Member member : members) {
            if (watched.contains(member.id()) && !member.id().equals(self)) {
                (member.role() == MemberRole.ENTRY ? peersWatched : agentsWatched).add(member);
            }
        }
        peers.update(peersWatched, this);
        onAgents.accept(agentsWatched);
    }

    private List<Member> merged() {
        return view.members(now()).stream().map(MembershipController::published).toList();
    }

    private static Member published(MemberStatus status) {
        Member member = status.member();
        return status.acceptsNewWork() ? member : member.withState(MemberState.LEAVING);
    }

    private boolean isListedAndLeaving(InstanceId id) {
        return view.status(id, now())
                .filter(status -> !status.member().isLive())
                .isPresent();
    }

    private boolean acceptsNewWork(InstanceId id) {
        return view.status(id, now()).filter(MemberStatus::acceptsNewWork).isPresent();
    }

    private long now() {
        return clock.monotonicMillis();
    }

    private static Optional<MemberFact> fact(String instance, long incarnation, boolean isLeaving) {
        if (instance.isBlank() || incarnation <= 0) {
            return Optional.empty();
        }
        MemberState state = isLeaving ? MemberState.LEAVING : MemberState.LIVE;
        return Optional.of(new MemberFact(new InstanceId(instance), incarnation, state));
    }

    private static MemberReport report(MemberFact fact) {
        return MemberReport.newBuilder()
                .setInstance(fact.id().value())
                .setIncarnation(fact.incarnation())
                .setLeaving(fact.state() == MemberState.LEAVING)
                .build();
    }
}

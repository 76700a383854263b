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
 * Merges the platform's list, this instance's links and what its peers pass on, and publishes the members.
 *
 * <p>A member that takes no new work, for whatever reason, is published as leaving. {@link #refresh} and {@link #beat}
 * run on the control thread; the other methods are safe for use by several threads.
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
     * Creates a controller that knows nobody.
     *
     * @param self this instance
     * @param hello says who it is; first called after it has started
     * @param control the control thread
     * @param list the platform's list
     * @param peers the connections to peers
     * @param distance how far failure domains are from this instance
     * @param onAgents takes the watched agents after each change, on the control thread
     * @param broadcast sends this instance's greeting to all peers that watch it
     * @param clock the clock
     * @param events takes what changed
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

    /** Reads the list once; its answer is taken in when it arrives, a failure leaves what is known. */
    public void refresh() {
        list.fetch().thenAcceptAsync(this::accept, control);
    }

    /** Sends a heartbeat with news to all peers that watch this instance, and looks for members that fell silent. */
    public void beat() {
        take(hello.get());
        view.checkContacts(now());
        passOnNews();
        publish();
    }

    /** Returns the news that this instance's greetings carry. */
    public List<MemberReport> reports() {
        return reports;
    }

    @Override
    public void onHeard(Hello peer) {
        control.execute(() -> take(peer));
    }

    @Override
    public void onBroken(InstanceId instance) {
        control.execute(() -> breakLink(instance));
    }

    /** Publishes a change only, as each publishing opens lost connections again and a refused one breaks at once. */
    private void breakLink(InstanceId instance) {
        boolean tookWork = acceptsNewWork(instance);
        view.onLinkBroken(instance);
        if (tookWork != acceptsNewWork(instance)) {
            publish();
        }
    }

    private void accept(List<Member> members) {
        view.onListRead(members, now());
        Set<InstanceId> chosen = new HashSet<>(watchPolicy.choose(merged()));
        watched.stream().filter(this::isListedAndLeaving).forEach(chosen::add);
        chosen.add(self);
        watched = Set.copyOf(chosen);
        view.watch(watched, now());
        publish();
    }

    private void take(Hello peer) {
        Optional<MemberFact> fact = fact(peer.getInstance(), peer.getIncarnation(), peer.getLeaving());
        if (fact.isEmpty()) {
            return;
        }
        long digestBefore = view.digests().hashCode();
        boolean tookWork = acceptsNewWork(fact.get().id());
        view.onDirectFact(fact.get(), now());
        for (MemberReport report : peer.getMembersList()) {
            fact(report.getInstance(), report.getIncarnation(), report.getLeaving())
                    .ifPresent(view::onPeerFact);
        }
        boolean hasNews = view.digests().hashCode() != digestBefore;
        if (hasNews) {
            passOnNews();
        }
        if (hasNews || tookWork != acceptsNewWork(fact.get().id())) {
            publish();
        }
    }

    private void passOnNews() {
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

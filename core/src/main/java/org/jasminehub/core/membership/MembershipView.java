package org.jasminehub.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.InstanceId;

/**
 * The state of all members as seen by one instance, merged from direct links, peers and the platform's list.
 *
 * <p>The list determines which members exist and their addresses. Links and peers report the running incarnation of a
 * member and whether it is leaving. These facts only move forward, so a lagging list or a delayed fact never makes a
 * leaving incarnation live again. Silence is a local observation: no work is sent to a silent member, but the
 * observation is not sent to peers, so that regions without a connection to each other do not remove each other's
 * members.
 *
 * <pre>{@code
 * view.onListRead(members, nowMillis);
 * view.onDirectFact(new MemberFact(id, incarnation, MemberState.LEAVING), nowMillis);
 * List<MemberStatus> usable = view.members(nowMillis).stream().filter(MemberStatus::acceptsNewWork).toList();
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class MembershipView {
    private final MembershipSettings settings;
    private final EventSink events;
    private final ListedMembers listed = new ListedMembers();
    private final MemberFacts facts = new MemberFacts();
    private final GossipBuffer gossip;
    private final FailureDetector failureDetector;
    private final ListRemovalPolicy removals;
    private final Map<InstanceId, Long> unlistedSinceMillis = new HashMap<>();
    private final Set<InstanceId> reportedSilent = new HashSet<>();
    private boolean isListDoubtReported;

    /** Creates an empty view. */
    public MembershipView(MembershipSettings settings, EventSink events) {
        this.settings = settings;
        this.events = events;
        this.gossip = new GossipBuffer(settings.sendsPerFact());
        this.failureDetector = new FailureDetector(settings.silenceMillis());
        this.removals = new ListRemovalPolicy(settings.listDoubt());
    }

    /** Applies a newly read list of the platform. */
    public void onListRead(List<Member> list, long nowMillis) {
        Map<InstanceId, Member> shown =
                list.stream().collect(Collectors.toMap(Member::id, Function.identity(), (one, other) -> one));
        Set<InstanceId> live = listed.all().stream()
                .map(Member::id)
                .filter(id -> stateOf(id) == MemberState.LIVE)
                .collect(Collectors.toSet());
        Set<InstanceId> missing =
                live.stream().filter(id -> !isLiveIn(shown, id)).collect(Collectors.toSet());
        // A member that the list omits is kept while it still sends messages to this instance.
        Set<InstanceId> removable = missing.stream()
                .filter(id -> shown.containsKey(id) || failureDetector.contact(id, nowMillis) != MemberContact.HEARD)
                .collect(Collectors.toSet());
        Set<InstanceId> permitted = removals.permittedRemovals(removable, live.size(), nowMillis);
        emitListTrustChange(missing.size(), live.size(), permitted.size() < missing.size());
        shown.values().forEach(member -> applyListedMember(member, live, permitted));
        removeUnlisted(shown.keySet(), live, permitted);
        expireFacts(nowMillis);
    }

    /** Applies a fact that a member reported about itself in a greeting or heartbeat on a direct link. */
    public void onDirectFact(MemberFact fact, long nowMillis) {
        merge(fact, MembershipSource.LINK);
        boolean isNewest = incarnationOf(fact.id()) == fact.incarnation();
        if (isNewest) {
            failureDetector.recordContact(fact.id(), nowMillis);
        }
    }

    /** Called when the link to a watched member broke. */
    public void onLinkBroken(InstanceId id) {
        failureDetector.recordBrokenLink(id);
    }

    /** Applies a fact about a member that was received from a peer. */
    public void onPeerFact(MemberFact fact) {
        merge(fact, MembershipSource.PEER);
    }

    /** Replaces the set of watched members. */
    public void watch(Set<InstanceId> ids, long nowMillis) {
        failureDetector.watch(ids, nowMillis);
    }

    /** Emits events for members that became silent or sent messages again since the last call. */
    public void checkContacts(long nowMillis) {
        reportedSilent.retainAll(failureDetector.watched());
        for (InstanceId id : failureDetector.watched()) {
            boolean isSilent = failureDetector.contact(id, nowMillis) == MemberContact.SILENT;
            if (isSilent && reportedSilent.add(id)) {
                emit(MembershipEventKind.MEMBER_SILENT, id, MembershipSource.LINK);
            }
            if (!isSilent && reportedSilent.remove(id)) {
                emit(MembershipEventKind.MEMBER_HEARD, id, MembershipSource.LINK);
            }
        }
    }

    /** Returns the status of {@code id}, or empty if it is not a listed member. */
    public Optional<MemberStatus> status(InstanceId id, long nowMillis) {
        return listed.get(id).map(member -> status(member, nowMillis));
    }

    /** Returns all listed members, including those whose removal was not permitted. */
    public List<MemberStatus> members(long nowMillis) {
        return listed.all().stream().map(member -> status(member, nowMillis)).toList();
    }

    /** Returns up to {@code maxFacts} facts to send with the next message to a peer. */
    public List<MemberFact> nextGossip(int maxFacts) {
        return gossip.next(maxFacts);
    }

    /** Returns the digests with which a peer determines the facts that it is missing. */
    public List<Long> digests() {
        return facts.digests();
    }

    /** Returns the facts that a peer with {@code digests} may be missing. */
    public List<MemberFact> factsFor(List<Long> digests) {
        return facts.inDifferingBuckets(digests);
    }

    private MemberStatus status(Member member, long nowMillis) {
        InstanceId id = member.id();
        return new MemberStatus(
                member.withState(stateOf(id)), incarnationOf(id), failureDetector.contact(id, nowMillis));
    }

    private MemberState stateOf(InstanceId id) {
        boolean isLeavingByFact = facts.get(id)
                .filter(fact -> fact.state() == MemberState.LEAVING)
                .isPresent();
        boolean isLeaving = isLeavingByFact || listed.isLeaving(id, incarnationOf(id));
        return isLeaving ? MemberState.LEAVING : MemberState.LIVE;
    }

    private long incarnationOf(InstanceId id) {
        return facts.get(id).map(MemberFact::incarnation).orElse(0L);
    }

    private void merge(MemberFact fact, MembershipSource source) {
        MemberState before = stateOf(fact.id());
        if (!facts.merge(fact)) {
            return;
        }
        gossip.add(facts.get(fact.id()).orElse(fact));
        listed.bindLeavingToIncarnation(fact.id(), incarnationOf(fact.id()));
        emitStateChange(fact.id(), before, source);
    }

    private static boolean isLiveIn(Map<InstanceId, Member> shown, InstanceId id) {
        return shown.containsKey(id) && shown.get(id).isLive();
    }

    private void applyListedMember(Member member, Set<InstanceId> live, Set<InstanceId> permitted) {
        InstanceId id = member.id();
        if (listed.put(member)) {
            emit(MembershipEventKind.MEMBER_LISTED, id, MembershipSource.LIST);
        }
        MemberState before = stateOf(id);
        boolean wasLive = live.contains(id);
        if (member.isLive()) {
            listed.markLive(id);
        } else if (!wasLive || permitted.contains(id)) {
            listed.markLeaving(id, incarnationOf(id), wasLive);
        }
        emitStateChange(id, before, MembershipSource.LIST);
    }

    private void removeUnlisted(Set<InstanceId> shown, Set<InstanceId> live, Set<InstanceId> permitted) {
        List<InstanceId> gone = listed.all().stream()
                .map(Member::id)
                .filter(id -> !shown.contains(id))
                .filter(id -> !live.contains(id) || permitted.contains(id))
                .toList();
        for (InstanceId id : gone) {
            listed.remove(id);
            emit(MembershipEventKind.MEMBER_UNLISTED, id, MembershipSource.LIST);
        }
    }

    private void expireFacts(long nowMillis) {
        Set<InstanceId> unlisted = facts.all().stream()
                .map(MemberFact::id)
                .filter(id -> listed.get(id).isEmpty())
                .collect(Collectors.toSet());
        unlistedSinceMillis.keySet().retainAll(unlisted);
        unlisted.forEach(id -> unlistedSinceMillis.putIfAbsent(id, nowMillis));
        facts.removeIf(id -> isExpired(id, nowMillis));
        unlisted.stream().filter(id -> isExpired(id, nowMillis)).forEach(listed::forget);
    }

    private boolean isExpired(InstanceId id, long nowMillis) {
        long since = unlistedSinceMillis.getOrDefault(id, nowMillis);
        return nowMillis - since > settings.factRetentionMillis();
    }

    private void emitStateChange(InstanceId id, MemberState before, MembershipSource source) {
        MemberState after = stateOf(id);
        if (before != after) {
            boolean isLeaving = after == MemberState.LEAVING;
            emit(isLeaving ? MembershipEventKind.MEMBER_LEAVING : MembershipEventKind.MEMBER_RETURNED, id, source);
        }
    }

    private void emitListTrustChange(int missing, int live, boolean isDoubted) {
        if (isDoubted != isListDoubtReported) {
            isListDoubtReported = isDoubted;
            events.emit(new ListTrustChanged(
                    isDoubted ? MembershipEventKind.LIST_DOUBTED : MembershipEventKind.LIST_BELIEVED, missing, live));
        }
    }

    private void emit(MembershipEventKind change, InstanceId id, MembershipSource source) {
        events.emit(new MemberChanged(change, id.value(), incarnationOf(id), source));
    }
}

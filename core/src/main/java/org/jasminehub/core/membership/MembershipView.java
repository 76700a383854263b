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
 * What one instance knows of the others, merged from its links, heartbeats, peers and the platform's list.
 *
 * <p>The list says who exists and where. Links, heartbeats and peers say which incarnation runs and whether it is
 * leaving; these facts only move forward, so a lagging list or a late fact never brings a leaving incarnation back.
 * Silence is an opinion of this instance alone: it keeps work away and is never passed on, so regions that cannot reach
 * each other do not declare each other gone.
 *
 * <pre>{@code
 * view.listRead(members, nowMillis);
 * view.linkHeard(new MemberFact(id, incarnation, MemberState.LEAVING), nowMillis);
 * List<MemberStatus> usable = view.members(nowMillis).stream().filter(MemberStatus::takesNewWork).toList();
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class MembershipView {
    private final MembershipSettings settings;
    private final EventSink events;
    private final ListedMembers listed = new ListedMembers();
    private final MemberFacts facts = new MemberFacts();
    private final Hearsay hearsay;
    private final ContactTable contacts;
    private final ListDoubtPolicy doubt;
    private final Map<InstanceId, Long> unlistedSinceMillis = new HashMap<>();
    private final Set<InstanceId> silent = new HashSet<>();
    private boolean isListDoubted;

    /** Creates a view that knows nothing. */
    public MembershipView(MembershipSettings settings, EventSink events) {
        this.settings = settings;
        this.events = events;
        this.hearsay = new Hearsay(settings.sendsPerFact());
        this.contacts = new ContactTable(settings.silenceMillis());
        this.doubt = new ListDoubtPolicy(settings.listDoubt());
    }

    /** Takes the platform's list as it was read now. */
    public void listRead(List<Member> list, long nowMillis) {
        Map<InstanceId, Member> shown =
                list.stream().collect(Collectors.toMap(Member::id, Function.identity(), (one, other) -> one));
        Set<InstanceId> live = listed.all().stream()
                .map(Member::id)
                .filter(id -> stateOf(id) == MemberState.LIVE)
                .collect(Collectors.toSet());
        Set<InstanceId> missing =
                live.stream().filter(id -> !isLiveIn(shown, id)).collect(Collectors.toSet());
        Set<InstanceId> unheard = missing.stream()
                .filter(id -> shown.containsKey(id) || contacts.contact(id, nowMillis) != MemberContact.HEARD)
                .collect(Collectors.toSet());
        Set<InstanceId> obeyed = doubt.obeyed(unheard, live.size(), nowMillis);
        announceDoubt(missing.size(), live.size(), obeyed.size() < missing.size());
        shown.values().forEach(member -> show(member, live, obeyed));
        dropUnlisted(shown.keySet(), live, obeyed);
        forgetOldFacts(nowMillis);
    }

    /** Takes what a member said of itself on a link of this instance, in a greeting or a heartbeat. */
    public void linkHeard(MemberFact fact, long nowMillis) {
        merge(fact, MembershipSource.LINK);
        boolean isNewest = incarnationOf(fact.id()) == fact.incarnation();
        if (isNewest) {
            contacts.heard(fact.id(), nowMillis);
        }
    }

    /** Notes that the link to a watched member broke. */
    public void linkBroken(InstanceId id) {
        contacts.broken(id);
    }

    /** Takes what a peer says of a member. */
    public void peerHeard(MemberFact fact) {
        merge(fact, MembershipSource.PEER);
    }

    /** Watches exactly these members from now on. */
    public void watch(Set<InstanceId> ids, long nowMillis) {
        contacts.watch(ids, nowMillis);
    }

    /** Reports members that fell silent or are heard again since the last call. */
    public void checkContacts(long nowMillis) {
        silent.retainAll(contacts.watched());
        for (InstanceId id : contacts.watched()) {
            boolean isSilent = contacts.contact(id, nowMillis) == MemberContact.SILENT;
            if (isSilent && silent.add(id)) {
                emit(MembershipEventKind.MEMBER_SILENT, id, MembershipSource.LINK);
            }
            if (!isSilent && silent.remove(id)) {
                emit(MembershipEventKind.MEMBER_HEARD, id, MembershipSource.LINK);
            }
        }
    }

    /** Returns what is made of {@code id}, if the list showed it. */
    public Optional<MemberStatus> status(InstanceId id, long nowMillis) {
        return listed.get(id).map(member -> status(member, nowMillis));
    }

    /** Returns all members that the list showed, as far as its removals were obeyed. */
    public List<MemberStatus> members(long nowMillis) {
        return listed.all().stream().map(member -> status(member, nowMillis)).toList();
    }

    /** Returns at most {@code maxFacts} facts to pass on with the next message to a peer. */
    public List<MemberFact> nextHearsay(int maxFacts) {
        return hearsay.next(maxFacts);
    }

    /** Returns the digests by which a peer finds out what it misses. */
    public List<Long> digests() {
        return facts.digests();
    }

    /** Returns the facts that a peer with {@code digests} may miss. */
    public List<MemberFact> factsFor(List<Long> digests) {
        return facts.whereDifferent(digests);
    }

    private MemberStatus status(Member member, long nowMillis) {
        InstanceId id = member.id();
        return new MemberStatus(member.withState(stateOf(id)), incarnationOf(id), contacts.contact(id, nowMillis));
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
        hearsay.add(facts.get(fact.id()).orElse(fact));
        listed.bindLeaving(fact.id(), incarnationOf(fact.id()));
        announceState(fact.id(), before, source);
    }

    private static boolean isLiveIn(Map<InstanceId, Member> shown, InstanceId id) {
        return shown.containsKey(id) && shown.get(id).isLive();
    }

    private void show(Member member, Set<InstanceId> live, Set<InstanceId> obeyed) {
        InstanceId id = member.id();
        if (listed.put(member)) {
            emit(MembershipEventKind.MEMBER_LISTED, id, MembershipSource.LIST);
        }
        MemberState before = stateOf(id);
        boolean wasLive = live.contains(id);
        if (member.isLive()) {
            listed.markLive(id);
        } else if (!wasLive || obeyed.contains(id)) {
            listed.markLeaving(id, incarnationOf(id), wasLive);
        }
        announceState(id, before, MembershipSource.LIST);
    }

    private void dropUnlisted(Set<InstanceId> shown, Set<InstanceId> live, Set<InstanceId> obeyed) {
        List<InstanceId> gone = listed.all().stream()
                .map(Member::id)
                .filter(id -> !shown.contains(id))
                .filter(id -> !live.contains(id) || obeyed.contains(id))
                .toList();
        for (InstanceId id : gone) {
            listed.remove(id);
            emit(MembershipEventKind.MEMBER_UNLISTED, id, MembershipSource.LIST);
        }
    }

    private void forgetOldFacts(long nowMillis) {
        Set<InstanceId> unlisted = facts.all().stream()
                .map(MemberFact::id)
                .filter(id -> listed.get(id).isEmpty())
                .collect(Collectors.toSet());
        unlistedSinceMillis.keySet().retainAll(unlisted);
        unlisted.forEach(id -> unlistedSinceMillis.putIfAbsent(id, nowMillis));
        facts.removeIf(id -> isOld(id, nowMillis));
        unlisted.stream().filter(id -> isOld(id, nowMillis)).forEach(listed::forget);
    }

    private boolean isOld(InstanceId id, long nowMillis) {
        long since = unlistedSinceMillis.getOrDefault(id, nowMillis);
        return nowMillis - since > settings.factRetentionMillis();
    }

    private void announceState(InstanceId id, MemberState before, MembershipSource source) {
        MemberState after = stateOf(id);
        if (before != after) {
            boolean isLeaving = after == MemberState.LEAVING;
            emit(isLeaving ? MembershipEventKind.MEMBER_LEAVING : MembershipEventKind.MEMBER_RETURNED, id, source);
        }
    }

    private void announceDoubt(int missing, int live, boolean isDoubted) {
        if (isDoubted != isListDoubted) {
            isListDoubted = isDoubted;
            events.emit(new ListJudged(
                    isDoubted ? MembershipEventKind.LIST_DOUBTED : MembershipEventKind.LIST_BELIEVED, missing, live));
        }
    }

    private void emit(MembershipEventKind change, InstanceId id, MembershipSource source) {
        events.emit(new MemberChanged(change, id.value(), incarnationOf(id), source));
    }
}

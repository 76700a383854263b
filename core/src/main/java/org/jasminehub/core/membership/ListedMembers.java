package org.jasminehub.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jasminehub.core.identity.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The members as the platform's list showed them, as far as it was obeyed.
 *
 * <p>The list knows no incarnations. Where it turns a member from live to leaving, that is held against the incarnation
 * known at the time for good. Where it is not known which incarnation the list means, leaving is held against the first
 * one met, until the list shows the member as live. A higher incarnation is never concerned.
 */
final class ListedMembers {
    private static final long ANY_INCARNATION = 0;

    private final Map<InstanceId, Member> members = new HashMap<>();
    private final Map<InstanceId, Leaving> leaving = new HashMap<>();

    Optional<Member> get(InstanceId id) {
        return Optional.ofNullable(members.get(id));
    }

    Collection<Member> all() {
        return members.values();
    }

    /** Takes a member that the list shows; returns whether it is new. */
    boolean put(Member member) {
        return members.put(member.id(), member) == null;
    }

    /** Marks a member that the list shows as leaving; {@code wasLive} tells whether it was live here until now. */
    void markLeaving(InstanceId id, long knownIncarnation, boolean wasLive) {
        boolean isForGood = wasLive && knownIncarnation != ANY_INCARNATION;
        @Nullable Leaving before = leaving.get(id);
        if (before == null || (isForGood && before.incarnation() < knownIncarnation)) {
            leaving.put(id, new Leaving(knownIncarnation, isForGood));
        }
    }

    /** Takes back a leaving state that may have meant an earlier incarnation. */
    void markLive(InstanceId id) {
        @Nullable Leaving known = leaving.get(id);
        if (known != null && !known.isForGood()) {
            leaving.remove(id);
        }
    }

    void bindLeaving(InstanceId id, long incarnation) {
        leaving.replace(id, new Leaving(ANY_INCARNATION, false), new Leaving(incarnation, false));
    }

    boolean isLeaving(InstanceId id, long incarnation) {
        @Nullable Leaving known = leaving.get(id);
        return known != null && incarnation <= known.incarnation();
    }

    void remove(InstanceId id) {
        members.remove(id);
        markLive(id);
    }

    /** Forgets what is left of a member that was removed. */
    void forget(InstanceId id) {
        leaving.remove(id);
    }

    private record Leaving(long incarnation, boolean isForGood) {}
}

package org.jasminehub.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jasminehub.core.identity.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The members according to the platform's list, except for removals that were not permitted.
 *
 * <p>The list does not contain incarnations. If it changes a member from live to leaving, the incarnation known at that
 * time counts as leaving permanently. If the incarnation is not known, or the member was not live before, the leaving
 * state applies only until the list shows the member as live again; if no incarnation is known, it is bound to the
 * first one that is reported. A leaving state never applies to a higher incarnation.
 */
final class ListedMembers {
    private static final long UNKNOWN_INCARNATION = 0;

    private final Map<InstanceId, Member> members = new HashMap<>();
    private final Map<InstanceId, Leaving> leaving = new HashMap<>();

    Optional<Member> get(InstanceId id) {
        return Optional.ofNullable(members.get(id));
    }

    Collection<Member> all() {
        return members.values();
    }

    /** Stores a member that the list shows and returns whether it is new. */
    boolean put(Member member) {
        return members.put(member.id(), member) == null;
    }

    /** Marks a member that the list shows as leaving; {@code wasLive} is whether the view had it as live until now. */
    void markLeaving(InstanceId id, long knownIncarnation, boolean wasLive) {
        boolean isPermanent = wasLive && knownIncarnation != UNKNOWN_INCARNATION;
        @Nullable Leaving before = leaving.get(id);
        if (before == null || (isPermanent && before.incarnation() < knownIncarnation)) {
            leaving.put(id, new Leaving(knownIncarnation, isPermanent));
        }
    }

    /** Clears a leaving state that is not permanent, because it may refer to an earlier incarnation. */
    void markLive(InstanceId id) {
        @Nullable Leaving known = leaving.get(id);
        if (known != null && !known.isPermanent()) {
            leaving.remove(id);
        }
    }

    /** Binds a leaving state for an unknown incarnation to {@code incarnation}. */
    void bindLeavingToIncarnation(InstanceId id, long incarnation) {
        leaving.replace(id, new Leaving(UNKNOWN_INCARNATION, false), new Leaving(incarnation, false));
    }

    boolean isLeaving(InstanceId id, long incarnation) {
        @Nullable Leaving known = leaving.get(id);
        return known != null && incarnation <= known.incarnation();
    }

    void remove(InstanceId id) {
        members.remove(id);
        markLive(id);
    }

    /** Deletes the leaving state that was retained for a removed member. */
    void forget(InstanceId id) {
        leaving.remove(id);
    }

    private record Leaving(long incarnation, boolean isPermanent) {}
}

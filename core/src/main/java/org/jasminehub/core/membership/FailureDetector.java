package org.jasminehub.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.identity.InstanceId;
import org.jspecify.annotations.Nullable;

/** Detects watched members that are silent, from the time of the last message received from each of them. */
final class FailureDetector {
    private static final long LINK_BROKEN = Long.MIN_VALUE;

    private final long silenceMillis;
    private final Map<InstanceId, Long> lastContactMillis = new HashMap<>();

    FailureDetector(long silenceMillis) {
        this.silenceMillis = silenceMillis;
    }

    /**
     * Replaces the set of watched members. The time-out of a new member starts now, so that it has time to send a
     * message.
     */
    void watch(Collection<InstanceId> ids, long nowMillis) {
        lastContactMillis.keySet().retainAll(ids);
        ids.forEach(id -> lastContactMillis.putIfAbsent(id, nowMillis));
    }

    void recordContact(InstanceId id, long nowMillis) {
        lastContactMillis.computeIfPresent(id, (key, before) -> nowMillis);
    }

    void recordBrokenLink(InstanceId id) {
        lastContactMillis.computeIfPresent(id, (key, before) -> LINK_BROKEN);
    }

    MemberContact contact(InstanceId id, long nowMillis) {
        @Nullable Long contactMillis = lastContactMillis.get(id);
        if (contactMillis == null) {
            return MemberContact.UNWATCHED;
        }
        boolean isSilent = contactMillis == LINK_BROKEN || nowMillis - contactMillis > silenceMillis;
        return isSilent ? MemberContact.SILENT : MemberContact.HEARD;
    }

    Collection<InstanceId> watched() {
        return lastContactMillis.keySet();
    }
}

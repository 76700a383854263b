package org.jasminehub.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.identity.InstanceId;
import org.jspecify.annotations.Nullable;

/** When each watched member was last heard. */
final class ContactTable {
    private static final long BROKEN = Long.MIN_VALUE;

    private final long silenceMillis;
    private final Map<InstanceId, Long> heardMillis = new HashMap<>();

    ContactTable(long silenceMillis) {
        this.silenceMillis = silenceMillis;
    }

    /** Watches exactly {@code ids}; a new one counts as heard now, so that it gets the time to answer. */
    void watch(Collection<InstanceId> ids, long nowMillis) {
        heardMillis.keySet().retainAll(ids);
        ids.forEach(id -> heardMillis.putIfAbsent(id, nowMillis));
    }

    void heard(InstanceId id, long nowMillis) {
        heardMillis.computeIfPresent(id, (key, before) -> nowMillis);
    }

    void broken(InstanceId id) {
        heardMillis.computeIfPresent(id, (key, before) -> BROKEN);
    }

    MemberContact contact(InstanceId id, long nowMillis) {
        @Nullable Long heard = heardMillis.get(id);
        if (heard == null) {
            return MemberContact.UNWATCHED;
        }
        boolean isSilent = heard == BROKEN || nowMillis - heard > silenceMillis;
        return isSilent ? MemberContact.SILENT : MemberContact.HEARD;
    }

    Collection<InstanceId> watched() {
        return heardMillis.keySet();
    }
}

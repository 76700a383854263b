package org.jasminehub.entry.filter.limit;

import java.util.List;
import java.util.function.Supplier;
import org.jasminehub.core.address.AddressPolicy;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.limit.ShareView;
import org.jasminehub.core.membership.Member;

/**
 * Divides the limits of a workspace among the instances whose addresses its callers receive.
 *
 * <p>An instance that is not in the current address list may still receive requests from callers that cached an older
 * list. It allows {@code limit / (n + 1)}, where {@code n} is the number of listed instances, so the limit may be
 * exceeded by that amount until those callers refresh their lists. Thread-safe.
 */
public final class AddressShareViewSource implements ShareViewSource {
    private final InstanceId self;
    private final AddressPolicy addressPolicy;
    private final Supplier<List<Member>> entries;

    /** Creates a source for the instance {@code self}; {@code entries} supplies the entry instances. */
    public AddressShareViewSource(InstanceId self, AddressPolicy addressPolicy, Supplier<List<Member>> entries) {
        this.self = self;
        this.addressPolicy = addressPolicy;
        this.entries = entries;
    }

    @Override
    public ShareView viewOf(WorkspaceId workspace) {
        List<InstanceId> chosen = addressPolicy.choose(workspace, entries.get()).stream()
                .map(Member::id)
                .toList();
        int rank = chosen.indexOf(self);
        return rank >= 0 ? new ShareView(rank, chosen.size()) : new ShareView(chosen.size(), chosen.size() + 1);
    }
}

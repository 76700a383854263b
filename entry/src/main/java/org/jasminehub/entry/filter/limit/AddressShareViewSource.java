package org.jasminehub.entry.filter.limit;

import java.util.List;
import java.util.function.Supplier;
import org.jasminehub.core.address.AddressPolicy;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.limit.ShareView;
import org.jasminehub.core.membership.Member;

/**
 * Shares a workspace's limits over the instances whose addresses its callers get.
 *
 * <p>An instance that is not among them serves callers with an old answer from a part of its own, {@code limit / (n +
 * 1)}; by that much the limit may be exceeded for as long as callers keep old answers. Safe for use by several threads.
 */
public final class AddressShareViewSource implements ShareViewSource {
    private final InstanceId self;
    private final AddressPolicy addresses;
    private final Supplier<List<Member>> entries;

    /** Creates a source for the instance {@code self} among {@code entries}. */
    public AddressShareViewSource(InstanceId self, AddressPolicy addresses, Supplier<List<Member>> entries) {
        this.self = self;
        this.addresses = addresses;
        this.entries = entries;
    }

    @Override
    public ShareView viewOf(WorkspaceId workspace) {
        List<InstanceId> chosen = addresses.choose(workspace, entries.get()).stream()
                .map(Member::id)
                .toList();
        int rank = chosen.indexOf(self);
        return rank >= 0 ? new ShareView(rank, chosen.size()) : new ShareView(chosen.size(), chosen.size() + 1);
    }
}

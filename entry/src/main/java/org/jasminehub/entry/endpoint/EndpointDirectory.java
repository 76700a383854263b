package org.jasminehub.entry.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.retry.OutlierPolicy;
import org.jasminehub.core.routing.EndpointTracker;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.generated.Hello;

/**
 * The connections of this instance to agents.
 *
 * <p>{@link #update} must be called on the control thread; the other methods are thread-safe.
 */
public final class EndpointDirectory implements AutoCloseable {
    private final WireGroup group;
    private final Supplier<Hello> hello;
    private final EndpointTracker tracker;
    private final OutlierPolicy outliers;
    private final LinkObserver observer;
    private final Map<EndpointId, EndpointLink> links = new ConcurrentHashMap<>();

    /** Creates a directory without connections; {@code hello} supplies this process's hello message. */
    public EndpointDirectory(
            WireGroup group,
            Supplier<Hello> hello,
            EndpointTracker tracker,
            OutlierPolicy outliers,
            LinkObserver observer) {
        this.group = group;
        this.hello = hello;
        this.tracker = tracker;
        this.outliers = outliers;
        this.observer = observer;
    }

    /**
     * Opens connections to the agents in {@code members}. Connections to all other agents receive no new work and are
     * closed after their calls have ended.
     */
    public void update(List<Member> members) {
        Map<EndpointId, Member> agents = new HashMap<>();
        for (Member member : members) {
            if (member.role() == MemberRole.AGENT) {
                agents.put(new EndpointId(member.id().value()), member);
            }
        }
        agents.forEach((id, member) -> linkOf(id, member).update(member));
        for (EndpointLink link : links.values()) {
            if (!agents.containsKey(link.id())) {
                retire(link);
            }
        }
    }

    /**
     * Returns the connections over which new work for {@code target} may be sent, without those to ejected outliers.
     */
    public List<EndpointLink> usable(Target target) {
        List<EndpointLink> usable = new ArrayList<>();
        for (EndpointLink link : links.values()) {
            if (link.isUsable() && link.member().serves().contains(target)) {
                usable.add(link);
            }
        }
        Set<EndpointId> ejected =
                outliers.ejected(usable.stream().map(EndpointLink::id).toList());
        usable.removeIf(link -> ejected.contains(link.id()));
        return usable;
    }

    /** Returns the connection to the endpoint {@code id}, if there is one. */
    public Optional<EndpointLink> link(EndpointId id) {
        return Optional.ofNullable(links.get(id));
    }

    @Override
    public void close() {
        links.values().forEach(EndpointLink::close);
    }

    private void retire(EndpointLink link) {
        link.retire();
        if (link.isIdle()) {
            links.remove(link.id());
            tracker.forget(link.id());
            outliers.forget(link.id());
            link.close();
        }
    }

    private EndpointLink linkOf(EndpointId id, Member member) {
        EndpointLink known = links.get(id);
        if (known != null && hasSameAddress(known.member(), member)) {
            return known;
        }
        EndpointLink link = new EndpointLink(member, group, hello, tracker, outliers, observer);
        EndpointLink replaced = links.put(id, link);
        if (replaced != null) {
            replaced.close();
        }
        return link;
    }

    private static boolean hasSameAddress(Member one, Member other) {
        return one.host().equals(other.host()) && one.wirePort() == other.wirePort();
    }
}

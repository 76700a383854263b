package org.jasminehub.core.membership;

import java.util.List;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * An instance as the platform's list shows it.
 *
 * @param id its name
 * @param role what it does
 * @param state whether it takes new work
 * @param failureDomain the set of instances it tends to fail with
 * @param host its IP address
 * @param wirePort the port on which it talks to other processes of the system
 * @param callerPort the port on which it takes callers' requests, or 0 for an agent
 * @param serves what the endpoint beside an agent serves; empty for an entry instance
 */
public record Member(
        InstanceId id,
        MemberRole role,
        MemberState state,
        FailureDomain failureDomain,
        String host,
        int wirePort,
        int callerPort,
        List<Target> serves) {
    private static final int MAX_PORT = 65_535;

    /** Creates a checked member. */
    public Member {
        Checks.notBlank("host", host);
        Checks.inRange("wirePort", wirePort, 0, MAX_PORT);
        Checks.inRange("callerPort", callerPort, 0, MAX_PORT);
        serves = List.copyOf(serves);
    }

    /** Tells whether it takes new work. */
    public boolean isLive() {
        return state == MemberState.LIVE;
    }

    /** Returns the same member in another state. */
    public Member withState(MemberState newState) {
        return new Member(id, role, newState, failureDomain, host, wirePort, callerPort, serves);
    }
}

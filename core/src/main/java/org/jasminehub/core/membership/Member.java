package org.jasminehub.core.membership;

import java.util.List;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * An instance of the system according to the platform's list.
 *
 * @param id the name of the instance
 * @param role the role of the instance
 * @param state whether it accepts new work
 * @param failureDomain the failure domain that it belongs to
 * @param host its IP address
 * @param wirePort the port for connections from other processes of the system
 * @param callerPort the port for requests of callers, or 0 for an agent
 * @param serves the targets that the endpoint of an agent serves; empty for an entry instance
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

    /** Creates a member and validates its components. */
    public Member {
        Checks.notBlank("host", host);
        Checks.inRange("wirePort", wirePort, 0, MAX_PORT);
        Checks.inRange("callerPort", callerPort, 0, MAX_PORT);
        serves = List.copyOf(serves);
    }

    /** Returns whether this member accepts new work. */
    public boolean isLive() {
        return state == MemberState.LIVE;
    }

    /** Returns a copy of this member with another state. */
    public Member withState(MemberState newState) {
        return new Member(id, role, newState, failureDomain, host, wirePort, callerPort, serves);
    }
}

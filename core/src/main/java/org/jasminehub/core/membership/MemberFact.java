package org.jasminehub.core.membership;

import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * What instances tell each other of an instance: which incarnation of it was met and whether that one is leaving.
 *
 * <p>Facts form a join semilattice: a higher incarnation replaces a lower one, and within one incarnation leaving
 * replaces live and never the other way. So it does not matter in which order, how often or along which way facts
 * arrive.
 *
 * @param id the instance
 * @param incarnation grows with every start of its process
 * @param state whether this incarnation takes new work
 */
public record MemberFact(InstanceId id, long incarnation, MemberState state) {
    /** Creates a checked fact. */
    public MemberFact {
        Checks.positive("incarnation", incarnation);
    }

    /** Returns the newer of both facts, which must be of one instance. */
    public MemberFact merge(MemberFact other) {
        Checks.that(id.equals(other.id), "instance", other.id, id.value());
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation ? this : other;
        }
        return state == MemberState.LEAVING ? this : other;
    }
}

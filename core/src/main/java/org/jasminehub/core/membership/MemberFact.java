package org.jasminehub.core.membership;

import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * The incarnation and state of a member, as exchanged between instances.
 *
 * <p>Facts form a join semilattice: a higher incarnation replaces a lower one, and within one incarnation leaving
 * replaces live, never the reverse. The result of merging therefore does not depend on the order in which facts arrive,
 * on the path they take or on duplicates.
 *
 * @param id the member
 * @param incarnation the incarnation of the member, which increases with every start of its process
 * @param state whether this incarnation accepts new work
 */
public record MemberFact(InstanceId id, long incarnation, MemberState state) {
    /** Creates a fact and validates its components. */
    public MemberFact {
        Checks.positive("incarnation", incarnation);
    }

    /** Returns the newer of this and the other fact, which must be about the same member. */
    public MemberFact merge(MemberFact other) {
        Checks.that(id.equals(other.id), "instance", other.id, id.value());
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation ? this : other;
        }
        return state == MemberState.LEAVING ? this : other;
    }
}

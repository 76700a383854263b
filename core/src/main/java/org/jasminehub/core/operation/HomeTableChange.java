package org.jasminehub.core.operation;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * A proposal on the log for the next home table of a service.
 *
 * @param service the service
 * @param baseEpoch the epoch of the table that the change was derived from, or 0 if there was none
 * @param members the agents of the next table
 */
public record HomeTableChange(String service, long baseEpoch, List<AgentIncarnation> members) {
    /** Creates a change; throws if the service is blank or the base epoch is negative. */
    public HomeTableChange {
        Checks.notBlank("service", service);
        Checks.notNegative("baseEpoch", baseEpoch);
        members = List.copyOf(members);
    }

    /** Returns whether the change takes effect if the table of {@code currentEpoch} is in force at its log offset. */
    public boolean isAccepted(long currentEpoch) {
        return baseEpoch == currentEpoch;
    }

    /** Returns the table that results from the change. */
    public HomeTable table() {
        return new HomeTable(service, baseEpoch + 1, members);
    }
}

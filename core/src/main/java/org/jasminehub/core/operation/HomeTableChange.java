package org.jasminehub.core.operation;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * A record on the log that proposes the next table of homes of a service.
 *
 * @param service the service
 * @param baseEpoch the epoch of the table it was derived from, 0 for none
 * @param members the agents of the next table
 */
public record HomeTableChange(String service, long baseEpoch, List<AgentIncarnation> members) {
    /** Creates a checked change. */
    public HomeTableChange {
        Checks.notBlank("service", service);
        Checks.notNegative("baseEpoch", baseEpoch);
        members = List.copyOf(members);
    }

    /** Tells whether it counts where the table of {@code currentEpoch} is in force at its offset. */
    public boolean isAccepted(long currentEpoch) {
        return baseEpoch == currentEpoch;
    }

    /** Returns the table that it leads to. */
    public HomeTable table() {
        return new HomeTable(service, baseEpoch + 1, members);
    }
}

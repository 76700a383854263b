package org.jasminehub.core.operation;

import java.util.List;

/**
 * What an old home tells a new one; from then on the old home starts none of the keys that moved.
 *
 * @param from the old home
 * @param to the new home
 * @param sealedEpoch the table that moved the keys
 * @param records what the old home remembers of those keys; times are ages
 * @param quarantines keys that the old home itself had to leave alone
 */
public record Handover(
        AgentIncarnation from,
        AgentIncarnation to,
        long sealedEpoch,
        List<OperationRecord> records,
        List<OpenQuarantine> quarantines) {
    /** Creates a handover. */
    public Handover {
        records = List.copyOf(records);
        quarantines = List.copyOf(quarantines);
    }
}

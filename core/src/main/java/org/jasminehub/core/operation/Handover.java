package org.jasminehub.core.operation;

import java.util.List;

/**
 * The state that the previous home of some keys passes to their new home. Once it has created the handover, the
 * previous home starts no operation whose key has moved.
 *
 * @param from the previous home
 * @param to the new home
 * @param sealedEpoch the epoch of the home table that moved the keys
 * @param records the operation records of the moved keys, with ages in place of times
 * @param quarantines quarantines that are still open at the previous home
 */
public record Handover(
        AgentIncarnation from,
        AgentIncarnation to,
        long sealedEpoch,
        List<OperationRecord> records,
        List<OpenQuarantine> quarantines) {
    /** Creates a handover with copies of the lists. */
    public Handover {
        records = List.copyOf(records);
        quarantines = List.copyOf(quarantines);
    }
}

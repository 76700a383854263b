package org.jasminehub.core.history;

import java.util.List;

/**
 * An exported stretch of accepted history; immutable.
 *
 * @param anchor the chain's head before the first entry
 * @param entries the entries in order
 * @param head the chain's head after the last entry
 */
public record AuditTrail(ChainHead anchor, List<AuditEntry> entries, ChainHead head) {
    /** Creates a trail. */
    public AuditTrail {
        entries = List.copyOf(entries);
    }
}

package org.jasminehub.core.history;

import java.util.List;

/**
 * An exported range of accepted publishes.
 *
 * <p>Immutable.
 *
 * @param anchor the chain head before the first entry
 * @param entries the entries in chain order
 * @param head the chain head after the last entry
 */
public record AuditTrail(ChainHead anchor, List<AuditEntry> entries, ChainHead head) {
    /** Copies the entries. */
    public AuditTrail {
        entries = List.copyOf(entries);
    }
}

package org.jasminehub.core.evacuation;

import org.jasminehub.core.identity.FailureDomain;

/**
 * Whether a failure domain is evacuated, as of a record in the operator's log.
 *
 * @param domain the failure domain
 * @param isEvacuated whether the operator asks that nothing more be sent to the domain
 * @param position the record that says so; for an end that is known from the absence of a record, the last position read
 */
public record EvacuationState(FailureDomain domain, boolean isEvacuated, LogPosition position) {
    /**
     * Returns whether this state supersedes {@code known}. At the same position a request supersedes an end, because only
     * the position of an end may be a later one than that of its record.
     */
    boolean supersedes(EvacuationState known) {
        int order = position.compareTo(known.position);
        return order > 0 || (order == 0 && isEvacuated && !known.isEvacuated);
    }
}

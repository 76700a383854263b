package org.jasminehub.core.operation;

import org.jspecify.annotations.Nullable;

/**
 * Keys that must be left alone for a while, since an incarnation that may have run them is gone.
 *
 * @param table the table under which that incarnation was their home
 * @param home that incarnation, or null where the quarantine covers every key
 * @param remainingMillis for how much longer
 */
public record OpenQuarantine(HomeTable table, @Nullable AgentIncarnation home, long remainingMillis) {
    boolean covers(OperationId id) {
        return home == null || table.isHome(home, id);
    }
}

package org.jasminehub.core.operation;

import org.jspecify.annotations.Nullable;

/**
 * A period in which operations of some keys must not be started, because a previous home that did not hand them over
 * may have run them.
 *
 * @param table the table in which the previous home was responsible for the keys
 * @param home the previous home, or null if the quarantine covers every key
 * @param remainingMillis the time until the quarantine ends
 */
public record OpenQuarantine(HomeTable table, @Nullable AgentIncarnation home, long remainingMillis) {
    boolean covers(OperationId id) {
        return home == null || table.isHome(home, id);
    }
}

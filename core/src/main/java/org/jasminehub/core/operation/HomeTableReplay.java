package org.jasminehub.core.operation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Replays the log's changes of homes: a change counts only where its base is the table in force at its offset.
 *
 * <p>Not safe for use by several threads.
 */
public final class HomeTableReplay {
    private static final int KEPT_TABLES = 64;

    private final Map<String, List<HomeTable>> tables = new HashMap<>();

    /** Takes the next record in the log's order; returns whether it changed a table. */
    public boolean apply(HomeLogRecord logRecord) {
        HomeTableChange change = logRecord.change();
        if (change == null || !change.isAccepted(epoch(change.service()))) {
            return false;
        }
        List<HomeTable> known = tables.computeIfAbsent(change.service(), service -> new ArrayList<>());
        known.add(change.table());
        if (known.size() > KEPT_TABLES) {
            known.remove(0);
        }
        return true;
    }

    /** Returns the epoch of the table in force for {@code service}, 0 where there is none. */
    public long epoch(String service) {
        List<HomeTable> known = tables(service);
        return known.isEmpty() ? 0 : known.get(known.size() - 1).epoch();
    }

    /** Returns the newest tables of {@code service}, oldest first. */
    public List<HomeTable> tables(String service) {
        return List.copyOf(tables.getOrDefault(service, List.of()));
    }

    /** Returns the tables of all services, oldest first for each. */
    public Map<String, List<HomeTable>> all() {
        Map<String, List<HomeTable>> copy = new HashMap<>();
        tables.forEach((service, known) -> copy.put(service, List.copyOf(known)));
        return Map.copyOf(copy);
    }
}

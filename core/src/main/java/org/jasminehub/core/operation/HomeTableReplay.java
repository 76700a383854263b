package org.jasminehub.core.operation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Replays the home table changes on the log. A change takes effect only if its base epoch is the epoch of the table in
 * force at its offset.
 *
 * <p>Not thread-safe.
 */
public final class HomeTableReplay {
    private static final int MAX_TABLES_PER_SERVICE = 64;

    private final Map<String, List<HomeTable>> tables = new HashMap<>();

    /** Applies the next record in log order; returns whether a table changed. */
    public boolean apply(HomeLogRecord logRecord) {
        HomeTableChange change = logRecord.change();
        if (change == null || !change.isAccepted(epoch(change.service()))) {
            return false;
        }
        List<HomeTable> known = tables.computeIfAbsent(change.service(), service -> new ArrayList<>());
        known.add(change.table());
        if (known.size() > MAX_TABLES_PER_SERVICE) {
            known.remove(0);
        }
        return true;
    }

    /** Returns the epoch of the table in force for {@code service}, or 0 if there is none. */
    public long epoch(String service) {
        List<HomeTable> known = tables(service);
        return known.isEmpty() ? 0 : known.get(known.size() - 1).epoch();
    }

    /** Returns the latest tables of {@code service}, at most {@value #MAX_TABLES_PER_SERVICE}, oldest first. */
    public List<HomeTable> tables(String service) {
        return List.copyOf(tables.getOrDefault(service, List.of()));
    }

    /** Returns the latest tables of each service, oldest first. */
    public Map<String, List<HomeTable>> all() {
        Map<String, List<HomeTable>> copy = new HashMap<>();
        tables.forEach((service, known) -> copy.put(service, List.copyOf(known)));
        return Map.copyOf(copy);
    }
}

package org.jasminehub.core.history;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Assembles snapshots from their parts. Parts of several snapshots may be interleaved, duplicated or missing.
 *
 * <p>Not thread-safe.
 */
final class SnapshotAssembler {
    private static final int MAX_INCOMPLETE_SNAPSHOTS = 8;

    private final Map<String, TreeMap<Integer, SnapshotRecord>> partsByRound = new LinkedHashMap<>();

    /** Adds a part and, once all parts of its snapshot are present, returns the snapshot as a single part. */
    Optional<SnapshotRecord> add(SnapshotRecord part) {
        TreeMap<Integer, SnapshotRecord> parts = partsByRound.computeIfAbsent(part.round(), round -> new TreeMap<>());
        if (parts.isEmpty() || isSameSnapshot(parts.firstEntry().getValue(), part)) {
            parts.putIfAbsent(part.part(), part);
        }
        evictOldestSnapshots();
        if (parts.size() < part.partCount()) {
            return Optional.empty();
        }
        partsByRound.remove(part.round());
        List<AcceptedDocument> documents = new ArrayList<>();
        parts.values().forEach(each -> documents.addAll(each.documents()));
        return Optional.of(new SnapshotRecord(
                part.round(), part.writer(), part.wallMillis(), part.completeTo(), part.head(), 0, 1, documents));
    }

    private static boolean isSameSnapshot(SnapshotRecord one, SnapshotRecord other) {
        return one.partCount() == other.partCount()
                && one.completeTo() == other.completeTo()
                && one.head().equals(other.head());
    }

    private void evictOldestSnapshots() {
        while (partsByRound.size() > MAX_INCOMPLETE_SNAPSHOTS) {
            partsByRound.remove(partsByRound.keySet().iterator().next());
        }
    }
}

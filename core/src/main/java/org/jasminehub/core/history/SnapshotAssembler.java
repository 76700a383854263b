package org.jasminehub.core.history;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Puts parts of snapshots together; parts of several writers may be mixed, repeated or missing. Not thread-safe. */
final class SnapshotAssembler {
    private static final int MAX_OPEN_ROUNDS = 8;

    private final Map<String, TreeMap<Integer, SnapshotRecord>> partsByRound = new LinkedHashMap<>();

    /** Takes one part and returns its snapshot as a single part once no part is missing. */
    Optional<SnapshotRecord> add(SnapshotRecord part) {
        TreeMap<Integer, SnapshotRecord> parts = partsByRound.computeIfAbsent(part.round(), round -> new TreeMap<>());
        if (parts.isEmpty() || belongTogether(parts.firstEntry().getValue(), part)) {
            parts.putIfAbsent(part.part(), part);
        }
        forgetOldestRounds();
        if (parts.size() < part.partCount()) {
            return Optional.empty();
        }
        partsByRound.remove(part.round());
        List<AcceptedDocument> documents = new ArrayList<>();
        parts.values().forEach(each -> documents.addAll(each.documents()));
        return Optional.of(new SnapshotRecord(
                part.round(), part.writer(), part.wallMillis(), part.completeTo(), part.head(), 0, 1, documents));
    }

    private static boolean belongTogether(SnapshotRecord one, SnapshotRecord other) {
        return one.partCount() == other.partCount()
                && one.completeTo() == other.completeTo()
                && one.head().equals(other.head());
    }

    private void forgetOldestRounds() {
        while (partsByRound.size() > MAX_OPEN_ROUNDS) {
            partsByRound.remove(partsByRound.keySet().iterator().next());
        }
    }
}

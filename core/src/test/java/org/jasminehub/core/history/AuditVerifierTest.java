package org.jasminehub.core.history;

import static org.jasminehub.core.history.HistoryFixtures.publish;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class AuditVerifierTest {
    private static final int ENTRIES = 6;

    private final List<AuditEntry> entries = new ArrayList<>(chainOf("honest"));
    private final ChainHead head = entries.get(ENTRIES - 1).head();

    private static List<AuditEntry> chainOf(String nonce) {
        List<AuditEntry> entries = new ArrayList<>();
        ChainHead head = ChainHead.START;
        for (int i = 0; i < ENTRIES; i++) {
            AuditEntry entry =
                    head.extend(10L * i, publish("drafts", i == 0 ? HistoryState.NO_VERSION : 10L * i - 10, nonce + i));
            entries.add(entry);
            head = entry.head();
        }
        return entries;
    }

    private List<AuditFault> faults() {
        AuditTrail trail = new AuditTrail(ChainHead.START, entries, head);
        return new AuditVerifier().verify(trail, Optional.of(head));
    }

    private static AuditEntry withOperator(AuditEntry entry, String operator) {
        return new AuditEntry(
                entry.sequence(),
                entry.version(),
                entry.team(),
                entry.baseVersion(),
                entry.nonce(),
                operator,
                entry.reason(),
                entry.wallMillis(),
                entry.documentSha256(),
                entry.previousHash(),
                entry.hash());
    }

    private void assertFirstFault(AuditFault.Kind kind, long sequence) {
        List<AuditFault> faults = faults();
        assertFalse(faults.isEmpty());
        assertEquals(kind, faults.get(0).kind());
        assertEquals(sequence, faults.get(0).sequence());
    }

    @Test
    void testUnchangedTrailHasNoFault() {
        assertEquals(List.of(), faults());
    }

    @Test
    void testEachRemovedEntryIsReported() {
        for (int i = 0; i < ENTRIES; i++) {
            AuditEntry removed = entries.remove(i);
            assertFirstFault(AuditFault.Kind.REMOVED, i + 1L);
            entries.add(i, removed);
        }
    }

    @Test
    void testEachChangedEntryIsReported() {
        for (int i = 0; i < ENTRIES; i++) {
            AuditEntry entry = entries.set(i, withOperator(entries.get(i), "somebody else"));
            assertFirstFault(AuditFault.Kind.CHANGED, i + 1L);
            entries.set(i, entry);
        }
    }

    @Test
    void testChangedEntryWithRecomputedHashIsReported() {
        AuditEntry changed = withOperator(entries.get(2), "somebody else");
        entries.set(2, changed.withHash(ChainHead.hashOf(changed)));
        assertFirstFault(AuditFault.Kind.CHANGED, 3);
    }

    @Test
    void testSwappedEntriesAreReported() {
        entries.add(1, entries.remove(2));
        assertFirstFault(AuditFault.Kind.REMOVED, 2);
    }

    @Test
    void testCompletelyForgedTrailIsDetectedByTrustedHead() {
        List<AuditEntry> forged = chainOf("forged");
        AuditTrail trail =
                new AuditTrail(ChainHead.START, forged, forged.get(ENTRIES - 1).head());
        assertEquals(List.of(), new AuditVerifier().verify(trail, Optional.empty()));
        assertFalse(new AuditVerifier().verify(trail, Optional.of(head)).isEmpty());
    }
}

package org.jasminehub.core.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Finds removed and changed entries in an exported audit trail.
 *
 * <p>A trail that was forged completely, including its hashes, is consistent in itself. It is detected only by
 * comparison with a trusted head that the auditor obtained from another source.
 *
 * <pre>{@code
 * List<AuditFault> faults = new AuditVerifier().verify(trail, Optional.of(headFromTheLog));
 * }</pre>
 *
 * <p>Immutable.
 */
public final class AuditVerifier {
    /** Returns the faults of {@code trail}; empty if it matches its hash chain and, where present, {@code trusted}. */
    public List<AuditFault> verify(AuditTrail trail, Optional<ChainHead> trusted) {
        List<AuditFault> faults = new ArrayList<>();
        ChainHead previous = trail.anchor();
        for (AuditEntry entry : trail.entries()) {
            verifyLink(previous, entry, faults);
            verifyFields(entry, faults);
            previous = entry.head();
        }
        verifyHead(previous, trail.head(), faults);
        trusted.ifPresent(head -> verifyTrusted(trail, head, faults));
        return faults;
    }

    private static void verifyLink(ChainHead previous, AuditEntry entry, List<AuditFault> faults) {
        long expected = previous.count() + 1;
        if (entry.sequence() > expected) {
            faults.add(removed(expected, "entries " + expected + " to " + (entry.sequence() - 1) + " are missing"));
        } else if (entry.sequence() < expected) {
            faults.add(changed(entry.sequence(), "found where entry " + expected + " was expected"));
        } else if (!entry.previousHash().equals(previous.hash())) {
            faults.add(changed(previous.count(), "entry " + expected + " has a different hash for its predecessor"));
        }
    }

    private static void verifyFields(AuditEntry entry, List<AuditFault> faults) {
        if (!ChainHead.hashOf(entry).equals(entry.hash())) {
            faults.add(changed(
                    entry.sequence(),
                    "version " + entry.version() + " of team " + entry.team() + " does not match its hash"));
        }
    }

    private static void verifyHead(ChainHead last, ChainHead head, List<AuditFault> faults) {
        if (last.count() < head.count()) {
            faults.add(removed(
                    last.count() + 1, "entries " + (last.count() + 1) + " to " + head.count() + " are missing"));
        } else if (!last.equals(head)) {
            faults.add(changed(last.count(), "the last entry does not match the head of the trail"));
        }
    }

    private static void verifyTrusted(AuditTrail trail, ChainHead trusted, List<AuditFault> faults) {
        if (trusted.count() > trail.head().count()) {
            faults.add(removed(
                    trail.head().count() + 1, "the trusted head has " + trusted.count() + " entries, more than these"));
            return;
        }
        if (trusted.equals(trail.anchor())) {
            return;
        }
        boolean found = trail.entries().stream().anyMatch(entry -> entry.head().equals(trusted));
        if (!found) {
            faults.add(changed(trusted.count(), "the entry does not have the trusted hash"));
        }
    }

    private static AuditFault removed(long sequence, String detail) {
        return new AuditFault(AuditFault.Kind.REMOVED, sequence, detail);
    }

    private static AuditFault changed(long sequence, String detail) {
        return new AuditFault(AuditFault.Kind.CHANGED, sequence, detail);
    }
}

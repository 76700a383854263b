package org.jasminehub.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.AuditEntry;
import org.jasminehub.core.history.AuditFault;
import org.jasminehub.core.history.AuditTrail;
import org.jasminehub.core.history.AuditVerifier;
import org.jasminehub.core.history.ChainHead;
import org.jasminehub.core.history.HistoryEvent;

/** Exports the history of accepted documents to a file for auditors, and verifies such files. */
final class AuditCommand {
    private static final int ARGUMENT_COUNT = 2;

    private final Connections connections;
    private final Pause pause;
    private final PrintStream out;
    private final AuditTrailFile trailFile = new AuditTrailFile();

    AuditCommand(Connections connections, Pause pause, PrintStream out) {
        this.connections = connections;
        this.pause = pause;
        this.out = out;
    }

    void run(CommandOptions.Audit options) {
        if (options.arguments.size() != ARGUMENT_COUNT) {
            throw new CtlException(ErrorCode.ARGUMENT_INVALID, "give export FILE or verify FILE");
        }
        String file = options.arguments.get(1);
        switch (options.arguments.get(0)) {
            case "export" -> export(options.log, file);
            case "verify" -> verify(file, parseHead(options.head));
            default -> throw new CtlException(ErrorCode.ARGUMENT_INVALID, "give export FILE or verify FILE");
        }
    }

    private void export(String address, String file) {
        if (address.isEmpty()) {
            throw new CtlException(ErrorCode.ARGUMENT_INVALID, "export needs --log HOST:PORT");
        }
        HistoryReader reader = new HistoryReader(connections.openLog(address), pause);
        List<AuditEntry> entries = entriesIn(reader.readToEnd());
        ChainHead head = reader.replay().state().head();
        AuditTrail trail = new AuditTrail(anchorOf(entries, head), entries, head);
        writeFile(file, trailFile.write(trail));
        out.println(
                "exported " + entries.size() + " entries after " + format(trail.anchor()) + ", head " + format(head));
    }

    private void verify(String file, Optional<ChainHead> trusted) {
        AuditTrail trail = trailFile.read(DocumentFile.readText(file));
        List<AuditFault> faults = new AuditVerifier().verify(trail, trusted);
        for (AuditFault fault : faults) {
            out.println("entry " + fault.sequence() + " " + fault.kind() + ": " + fault.detail());
        }
        if (!faults.isEmpty()) {
            throw new CtlException(ErrorCode.AUDIT_MISMATCH, faults.size() + " faults in " + file);
        }
        out.println(trail.entries().size() + " entries match, head " + format(trail.head()));
    }

    private static List<AuditEntry> entriesIn(List<HistoryEvent> events) {
        return events.stream()
                .filter(HistoryEvent.DocumentAccepted.class::isInstance)
                .map(event -> ((HistoryEvent.DocumentAccepted) event).entry())
                .toList();
    }

    private static ChainHead anchorOf(List<AuditEntry> entries, ChainHead head) {
        if (entries.isEmpty()) {
            return head;
        }
        AuditEntry first = entries.get(0);
        return new ChainHead(first.sequence() - 1, first.previousHash());
    }

    private static Optional<ChainHead> parseHead(String text) {
        if (text.isEmpty()) {
            return Optional.empty();
        }
        int colon = text.indexOf(':');
        if (colon < 1) {
            throw new CtlException(ErrorCode.ARGUMENT_INVALID, "--head is \"" + text + "\" but must be COUNT:HASH");
        }
        long count = CommandOptions.parseVersion("--head", text.substring(0, colon));
        return Optional.of(new ChainHead(count, text.substring(colon + 1)));
    }

    private static String format(ChainHead head) {
        return head.count() + ":" + head.hash();
    }

    private static void writeFile(String file, String text) {
        try {
            Files.writeString(Path.of(file), text);
        } catch (IOException e) {
            throw new CtlException(ErrorCode.ARGUMENT_INVALID, file + " cannot be written", e);
        }
    }
}

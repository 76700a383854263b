package org.jasminehub.ctl;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.PublishOutcome;
import org.jasminehub.core.history.PublishRecord;
import org.jasminehub.core.time.Clock;

/** Publishes a document and reports the outcome. */
final class PublishCommand {
    private final Connections connections;
    private final Clock clock;
    private final Pause pause;
    private final Supplier<String> nonces;
    private final PrintStream out;

    PublishCommand(Connections connections, Clock clock, Pause pause, Supplier<String> nonces, PrintStream out) {
        this.connections = connections;
        this.clock = clock;
        this.pause = pause;
        this.nonces = nonces;
        this.out = out;
    }

    void run(CommandOptions.Publish options) {
        PublishRecord publish = recordOf(options);
        long deadlineMillis = clock.monotonicMillis() + TimeUnit.SECONDS.toMillis(options.timeoutSeconds);
        PublishRunner runner = new PublishRunner(connections.openLog(options.log), clock, pause);
        PublishResult result = runner.run(new PublishSession(publish, deadlineMillis));
        if (result instanceof PublishResult.NotAppended failed) {
            throw new CtlException(failed.code(), "nothing was published: " + failed.reason());
        }
        if (result instanceof PublishResult.Observed observed) {
            report(publish, observed.outcome());
        }
    }

    private PublishRecord recordOf(CommandOptions.Publish options) {
        DocumentFile file = DocumentFile.read(options.files);
        return new PublishRecord(
                file.document().team(),
                options.baseVersion(),
                options.nonce.isEmpty() ? nonces.get() : options.nonce,
                options.operator,
                options.reason,
                clock.wallMillis(),
                file.text());
    }

    private void report(PublishRecord publish, PublishOutcome outcome) {
        String team = publish.team();
        if (outcome instanceof PublishOutcome.Accepted accepted) {
            out.println("accepted: team " + team + " has version " + accepted.version() + " in force");
        } else if (outcome instanceof PublishOutcome.Conflicted conflict) {
            throw new CtlException(ErrorCode.DOCUMENT_CONFLICT, conflictMessage(publish, conflict));
        } else if (outcome instanceof PublishOutcome.Rejected rejected) {
            throw new CtlException(ErrorCode.DOCUMENT_INVALID, rejected.cause());
        } else if (outcome instanceof PublishOutcome.Untraceable untraceable) {
            throw new CtlException(
                    ErrorCode.HISTORY_TRUNCATED,
                    "the log has dropped records that may include this publish; version " + untraceable.versionInForce()
                            + " of team " + team + " is in force");
        } else if (outcome instanceof PublishOutcome.NotYetKnown notYetKnown) {
            throw new CtlException(
                    ErrorCode.APPEND_UNSETTLED,
                    "not yet known whether it was published, read up to offset " + notYetKnown.nextOffset()
                            + "; run the same command with --nonce " + publish.nonce());
        }
    }

    private static String formatBase(PublishRecord publish) {
        return publish.baseVersion() == HistoryState.NO_VERSION ? "none" : "" + publish.baseVersion();
    }

    private static String conflictMessage(PublishRecord publish, PublishOutcome.Conflicted conflict) {
        if (conflict.winner().isEmpty()) {
            return "team " + publish.team() + " has no document; publish with --base none";
        }
        return "team " + publish.team() + " has version " + conflict.versionInForce() + " by " + conflict.winner()
                + " in force, not " + formatBase(publish);
    }
}

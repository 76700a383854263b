package org.jasminehub.ctl;

import java.io.PrintStream;
import org.jasminehub.core.history.AcceptedDocument;
import org.jasminehub.core.history.HistoryEvent;
import org.jasminehub.core.history.HistoryState;

/** Shows the outcome of each publish that is still in the log. */
final class HistoryCommand {
    private final Connections connections;
    private final Pause pause;
    private final PrintStream out;

    HistoryCommand(Connections connections, Pause pause, PrintStream out) {
        this.connections = connections;
        this.pause = pause;
        this.out = out;
    }

    void run(CommandOptions.History options) {
        HistoryReader reader = new HistoryReader(connections.openLog(options.log), pause);
        for (HistoryEvent event : reader.readToEnd()) {
            show(event, options.team);
        }
        for (AcceptedDocument document : reader.replay().state().sources()) {
            if (isSelected(document.team(), options.team)) {
                out.println("in force: team " + document.team() + " version " + document.version() + " by "
                        + document.operator());
            }
        }
    }

    private void show(HistoryEvent event, String team) {
        if (event instanceof HistoryEvent.DocumentAccepted accepted
                && isSelected(accepted.entry().team(), team)) {
            out.println(accepted.entry().version() + " accepted: team "
                    + accepted.entry().team() + " base "
                    + formatVersion(accepted.entry().baseVersion()) + " by "
                    + accepted.entry().operator() + ": " + accepted.entry().reason());
        } else if (event instanceof HistoryEvent.PublishConflicted conflict && isSelected(conflict.team(), team)) {
            out.println(conflict.offset() + " conflict: team " + conflict.team() + " base "
                    + formatVersion(conflict.baseVersion()) + " by " + conflict.operator() + ", in force was version "
                    + formatVersion(conflict.versionInForce()) + " by " + conflict.winner());
        } else if (event instanceof HistoryEvent.PublishRejected rejected && isSelected(rejected.team(), team)) {
            out.println(rejected.offset() + " rejected: team " + rejected.team() + " by " + rejected.operator() + ": "
                    + rejected.cause());
        } else if (event instanceof HistoryEvent.RecordUnreadable unreadable && team.isEmpty()) {
            out.println(unreadable.offset() + " unreadable: " + unreadable.cause());
        }
    }

    private static boolean isSelected(String team, String selected) {
        return selected.isEmpty() || selected.equals(team);
    }

    private static String formatVersion(long version) {
        return version == HistoryState.NO_VERSION ? "none" : Long.toString(version);
    }
}

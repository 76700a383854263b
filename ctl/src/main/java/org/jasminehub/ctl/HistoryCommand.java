package org.jasminehub.ctl;

import java.io.PrintStream;
import org.jasminehub.core.history.AcceptedDocument;
import org.jasminehub.core.history.HistoryEvent;
import org.jasminehub.core.history.HistoryState;

/** Shows what became of each publish that the log still holds. */
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
        LogFollower follower = new LogFollower(connections.openLog(options.log), pause);
        for (HistoryEvent event : follower.readToEnd()) {
            show(event, options.team);
        }
        for (AcceptedDocument document : follower.replay().state().sources()) {
            if (isWanted(document.team(), options.team)) {
                out.println("in force: team " + document.team() + " version " + document.version() + " by "
                        + document.operator());
            }
        }
    }

    private void show(HistoryEvent event, String team) {
        if (event instanceof HistoryEvent.DocumentAccepted accepted
                && isWanted(accepted.entry().team(), team)) {
            out.println(accepted.entry().version() + " accepted: team "
                    + accepted.entry().team() + " base "
                    + baseOf(accepted.entry().baseVersion()) + " by "
                    + accepted.entry().operator() + ": " + accepted.entry().reason());
        } else if (event instanceof HistoryEvent.PublishConflicted conflict && isWanted(conflict.team(), team)) {
            out.println(conflict.offset() + " conflict: team " + conflict.team() + " base "
                    + baseOf(conflict.baseVersion()) + " by " + conflict.operator() + ", in force was version "
                    + baseOf(conflict.versionInForce()) + " by " + conflict.winner());
        } else if (event instanceof HistoryEvent.PublishRejected rejected && isWanted(rejected.team(), team)) {
            out.println(rejected.offset() + " rejected: team " + rejected.team() + " by " + rejected.operator() + ": "
                    + rejected.cause());
        } else if (event instanceof HistoryEvent.RecordUnreadable unreadable && team.isEmpty()) {
            out.println(unreadable.offset() + " unreadable: " + unreadable.cause());
        }
    }

    private static boolean isWanted(String team, String wanted) {
        return wanted.isEmpty() || wanted.equals(team);
    }

    private static String baseOf(long version) {
        return version == HistoryState.NO_VERSION ? "none" : Long.toString(version);
    }
}

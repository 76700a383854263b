package org.jasminehub.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.HistoryState;

/** The options of each command; the command line parser sets the fields. */
final class CommandOptions {
    private CommandOptions() {}

    /** Options that are given without a command. */
    static final class Program {
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "Show this text")
        boolean help;

        @Parameter(names = "--version", description = "Show the version")
        boolean version;
    }

    /** Options of {@code check}. */
    @Parameters(commandDescription = "Check a document against the schema")
    static final class Check {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
    }

    /** Options of {@code publish}. */
    @Parameters(commandDescription = "Publish a new version of a team's document")
    static final class Publish {
        @Parameter(names = "--log", required = true, description = "HOST:PORT of the platform's log")
        String log = "";

        @Parameter(
                names = "--base",
                required = true,
                description = "The version that the document is based on, or none")
        String base = "";

        @Parameter(names = "--operator", required = true, description = "Name of the operator who publishes")
        String operator = "";

        @Parameter(names = "--reason", required = true, description = "Why")
        String reason = "";

        @Parameter(names = "--nonce", description = "Nonce of an earlier attempt whose outcome is not known yet")
        String nonce = "";

        @Parameter(names = "--timeout-seconds", description = "How long to wait for the outcome")
        int timeoutSeconds = 30;

        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();

        long baseVersion() {
            return base.equals("none") ? HistoryState.NO_VERSION : parseVersion("--base", base);
        }
    }

    /** Options of {@code history}. */
    @Parameters(commandDescription = "Show the outcome of each publish that is still in the log")
    static final class History {
        @Parameter(names = "--log", required = true, description = "HOST:PORT of the platform's log")
        String log = "";

        @Parameter(names = "--team", description = "Only this team")
        String team = "";
    }

    /** Options of {@code audit}. */
    @Parameters(commandDescription = "Export the accepted history to a file, or verify such a file")
    static final class Audit {
        @Parameter(names = "--log", description = "HOST:PORT of the platform's log; needed by export")
        String log = "";

        @Parameter(
                names = "--head",
                description = "Trusted COUNT:HASH, from another source, that verify compares with the file")
        String head = "";

        @Parameter(description = "export|verify FILE", required = true)
        List<String> arguments = new ArrayList<>();
    }

    /** Options of {@code status}. */
    @Parameters(commandDescription = "Show the versions that each entry instance has in force")
    static final class Status {
        @Parameter(names = "--entry", required = true, description = "HOST:PORT of any entry instance")
        String entry = "";
    }

    /** Options of {@code watch}. */
    @Parameters(commandDescription = "Wait until a version is in force on every entry instance")
    static final class Watch {
        @Parameter(names = "--entry", required = true, description = "HOST:PORT of any entry instance")
        String entry = "";

        @Parameter(names = "--team", required = true, description = "The team")
        String team = "";

        @Parameter(names = "--at-least", required = true, description = "Lowest version to wait for")
        String version = "";

        @Parameter(names = "--timeout-seconds", description = "How long to wait")
        int timeoutSeconds = 30;
    }

    /** Options of {@code explain}. */
    @Parameters(commandDescription = "Show the events of one request from collected logs")
    static final class Explain {
        @Parameter(names = "--request", required = true, description = "ID of the request")
        String request = "";

        @Parameter(description = "FILE...", required = true)
        List<String> files = new ArrayList<>();
    }

    /** Options of {@code summary}. */
    @Parameters(commandDescription = "Count how calls ended, from collected logs")
    static final class Summary {
        @Parameter(description = "FILE...", required = true)
        List<String> files = new ArrayList<>();
    }

    static long parseVersion(String option, String text) {
        try {
            return Long.parseUnsignedLong(text);
        } catch (NumberFormatException e) {
            throw new CtlException(ErrorCode.ARGUMENT_INVALID, option + " is \"" + text + "\" but must be a version");
        }
    }
}

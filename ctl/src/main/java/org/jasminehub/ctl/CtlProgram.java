package org.jasminehub.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.function.Supplier;
import org.jasminehub.core.document.TeamDocument;
import org.jasminehub.core.error.JasminehubException;
import org.jasminehub.core.time.Clock;

/** Parses a command line and runs the command that it names. */
final class CtlProgram {
    static final String NAME = "jasminehubctl";

    private final Connections connections;
    private final Clock clock;
    private final Pause pause;
    private final Supplier<String> nonces;
    private final PrintStream out;
    private final PrintStream err;

    CtlProgram(
            Connections connections,
            Clock clock,
            Pause pause,
            Supplier<String> nonces,
            PrintStream out,
            PrintStream err) {
        this.connections = connections;
        this.clock = clock;
        this.pause = pause;
        this.nonces = nonces;
        this.out = out;
        this.err = err;
    }

    /** Runs the command in {@code arguments} and returns its exit code; failures are printed to the error stream. */
    ExitCode run(String... arguments) {
        try {
            return parseAndRun(arguments);
        } catch (ParameterException e) {
            err.println("error argument-invalid: " + e.getMessage());
            return ExitCode.BAD_INPUT;
        } catch (JasminehubException e) {
            err.println("error " + e.code().code() + ": " + e.getMessage());
            return ExitCode.of(e.code());
        }
    }

    private ExitCode parseAndRun(String... arguments) {
        CommandOptions.Program program = new CommandOptions.Program();
        Commands commands = new Commands();
        JCommander parser = commands.addTo(
                        JCommander.newBuilder().programName(NAME).addObject(program))
                .build();
        parser.parse(arguments);
        if (program.version) {
            out.println(NAME + " " + version());
            return ExitCode.OK;
        }
        if (program.help || parser.getParsedCommand() == null) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(usage);
            (program.help ? out : err).print(usage);
            return program.help ? ExitCode.OK : ExitCode.BAD_INPUT;
        }
        commands.run(parser.getParsedCommand());
        return ExitCode.OK;
    }

    private static String version() {
        String version = CtlProgram.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    /** The commands and their options. */
    private final class Commands {
        private final CommandOptions.Check check = new CommandOptions.Check();
        private final CommandOptions.Publish publish = new CommandOptions.Publish();
        private final CommandOptions.Watch watch = new CommandOptions.Watch();
        private final CommandOptions.Status status = new CommandOptions.Status();
        private final CommandOptions.History history = new CommandOptions.History();
        private final CommandOptions.Audit audit = new CommandOptions.Audit();
        private final CommandOptions.Explain explain = new CommandOptions.Explain();
        private final CommandOptions.Summary summary = new CommandOptions.Summary();

        JCommander.Builder addTo(JCommander.Builder builder) {
            return builder.addCommand("check", check)
                    .addCommand("publish", publish)
                    .addCommand("watch", watch)
                    .addCommand("status", status)
                    .addCommand("history", history)
                    .addCommand("audit", audit)
                    .addCommand("explain", explain)
                    .addCommand("summary", summary);
        }

        void run(String command) {
            switch (command) {
                case "check" -> check();
                case "publish" -> new PublishCommand(connections, clock, pause, nonces, out).run(publish);
                case "watch" -> statusCommand().watch(watch);
                case "status" -> statusCommand().show(status);
                case "history" -> new HistoryCommand(connections, pause, out).run(history);
                case "audit" -> new AuditCommand(connections, pause, out).run(audit);
                case "explain" -> new ExplainCommand(out).explain(explain);
                case "summary" -> new ExplainCommand(out).summarize(summary);
                default -> throw new ParameterException("unknown command " + command);
            }
        }

        private StatusCommand statusCommand() {
            return new StatusCommand(new FleetStatusReader(connections), clock, pause, out);
        }

        private void check() {
            TeamDocument document = DocumentFile.read(check.files).document();
            out.println("valid: team " + document.team() + ", "
                    + document.workspaces().size() + " workspaces, "
                    + document.routes().size() + " routes");
        }
    }
}

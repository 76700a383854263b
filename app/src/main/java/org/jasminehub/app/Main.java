package org.jasminehub.app;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jasminehub.core.error.JasminehubException;

/** The command line of {@code jasminehub}. */
public final class Main {
    static final int EXIT_OK = 0;
    static final int EXIT_FAILURE = 1;
    static final int EXIT_USAGE = 2;

    private static final String VERSION = "0.1.0";

    private final PrintStream out;
    private final PrintStream err;
    private final Map<String, Command> commands = new LinkedHashMap<>();

    @Parameter(names = "--help", help = true, description = "shows this help")
    private boolean help;

    @Parameter(names = "--version", description = "shows the version")
    private boolean version;

    Main(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
        commands.put("entry", new EntryCommand(out));
        commands.put("agent", new AgentCommand(out));
        commands.put("demo", new DemoCommand(out));
        commands.put("check", new CheckCommand(out));
        commands.put("bench", new BenchCommand(out));
    }

    /** Runs the command line and exits the process with its exit code. */
    public static void main(String[] args) {
        int code = new Main(System.out, System.err).run(args);
        System.exit(code);
    }

    /**
     * Runs one command and returns its exit code.
     *
     * @return {@link #EXIT_OK} on success, {@link #EXIT_FAILURE} on failure, {@link #EXIT_USAGE} if the arguments or
     *     settings are invalid
     */
    int run(String... args) {
        JCommander parser = JCommander.newBuilder()
                .programName("jasminehub")
                .addObject(this)
                .build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(args);
            return dispatch(parser);
        } catch (ParameterException e) {
            err.println("jasminehub: " + e.getMessage());
            return EXIT_USAGE;
        } catch (JasminehubException e) {
            err.println("jasminehub: " + e.code().code() + ": " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private int dispatch(JCommander parser) {
        String name = parser.getParsedCommand();
        if (version) {
            out.println("jasminehub " + VERSION);
            return EXIT_OK;
        }
        if (help || name == null) {
            out.print(usageOf(parser));
            return help ? EXIT_OK : EXIT_USAGE;
        }
        Command command = commands.get(name);
        if (command == null || command.isHelpRequested()) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(name, usage);
            out.print(usage);
            return EXIT_OK;
        }
        return command.run();
    }

    private static String usageOf(JCommander parser) {
        StringBuilder usage = new StringBuilder();
        parser.getUsageFormatter().usage(usage);
        return usage.toString();
    }
}

package org.jasminehub.gateway;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.error.JasminehubException;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.gateway.telemetry.AsyncEventSink;
import org.jasminehub.gateway.telemetry.DeferredEventLog;
import org.jasminehub.gateway.telemetry.DeferredLoggerFactory;
import org.jasminehub.gateway.telemetry.MeteringEventSink;
import org.jasminehub.runtime.settings.SettingsLoader;
import org.jasminehub.runtime.time.SystemClock;
import org.jspecify.annotations.Nullable;

/** Command line entry point of the programs on the hosting platform. */
public final class Main {
    static final int EXIT_OK = 0;
    static final int EXIT_USAGE = 2;

    /**
     * Log lines buffered while standard output is blocked; covers several seconds of a busy instance in less than 1 MB.
     */
    private static final int LOG_CAPACITY = 2_048;

    static final String ENTRY = "entry";
    static final String RANK_AGENT = "rank-agent";
    private static final String SETTINGS_VARIABLE = "JASMINEHUB_BOOT";

    private final PrintStream err;
    private final ReloadSignal reload;

    @Parameter(description = "entry | rank-agent")
    private List<String> roles = new ArrayList<>();

    @Parameter(names = "--settings", description = "path of the settings file; default: JASMINEHUB_BOOT")
    private @Nullable String settingsPath;

    @Parameter(names = "--check", description = "validates the settings file and exits")
    private boolean isCheck;

    @Parameter(
            names = "--rehearse",
            description = "runs briefly on loopback and exits; the build archives the classes loaded by this run",
            hidden = true)
    private boolean isRehearsal;

    @Parameter(names = "--help", help = true, description = "prints this help")
    private boolean help;

    Main(PrintStream err, @Nullable String settingsPath, ReloadSignal reload) {
        this.err = err;
        this.settingsPath = settingsPath;
        this.reload = reload;
    }

    /** Runs a role until the process is stopped. */
    public static void main(String[] args) {
        // First, because a SIGHUP that arrives before would end the process.
        ReloadSignal reload = ReloadSignal.register();
        InternalLoggerFactory.setDefaultFactory(new DeferredLoggerFactory());
        int code = new Main(System.err, System.getenv(SETTINGS_VARIABLE), reload).run(args);
        if (code != EXIT_OK) {
            System.exit(code);
        }
    }

    int run(String... args) {
        String path = settingsPath;
        try {
            // The usual command line is a role alone. Parsing it with the library would cost 0.05 s of CPU time.
            if (args.length == 1 && isRole(args[0]) && path != null) {
                return start(args[0], Path.of(path));
            }
            return runParsed(args);
        } catch (ParameterException e) {
            err.println("jasminehub-gateway: " + e.getMessage());
            return EXIT_USAGE;
        } catch (JasminehubException e) {
            err.println("jasminehub-gateway: " + e.code().code() + ": " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private static boolean isRole(String argument) {
        return argument.equals(ENTRY) || argument.equals(RANK_AGENT);
    }

    private int runParsed(String... args) {
        JCommander parser = JCommander.newBuilder()
                .programName("jasminehub-gateway")
                .addObject(this)
                .build();
        parser.parse(args);
        if (help) {
            parser.usage();
            return EXIT_OK;
        }
        if (isRehearsal) {
            Rehearsal.run(reload);
            System.exit(EXIT_OK);
        }
        if (roles.size() != 1 || settingsPath == null) {
            throw new ParameterException("exactly one role and a settings file are required");
        }
        return start(roles.get(0), Path.of(settingsPath));
    }

    private int start(String role, Path path) {
        Clock clock = new SystemClock();
        if (role.equals(RANK_AGENT)) {
            return startRankAgent(path, clock);
        }
        if (!role.equals(ENTRY)) {
            throw new ParameterException("unknown role: " + role);
        }
        GatewaySettings settings = new SettingsLoader().load(path, GatewaySettings.class);
        if (isCheck) {
            return EXIT_OK;
        }
        AsyncEventSink log = new AsyncEventSink(clock, new DeferredEventLog(settings.instance())::emitAt, LOG_CAPACITY);
        MetricRegistry metrics = new MetricRegistry();
        EventSink events = new MeteringEventSink(log, metrics);
        EntryProgram program = new EntryProgram(settings, clock, events, metrics);
        // Before the start, because callers may be connected before it is complete.
        stopOnShutdown(program::stop, program.client().loop(), log);
        program.start();
        reload.setAction(() -> reload(path, settings.instance(), settings, GatewaySettings.class, events));
        return EXIT_OK;
    }

    private int startRankAgent(Path path, Clock clock) {
        RankAgentSettings settings = new SettingsLoader().load(path, RankAgentSettings.class);
        if (isCheck) {
            return EXIT_OK;
        }
        AsyncEventSink log = new AsyncEventSink(clock, new DeferredEventLog(settings.instance())::emitAt, LOG_CAPACITY);
        RankAgentProgram program = new RankAgentProgram(settings, clock, log);
        stopOnShutdown(program::stop, program.loop(), log);
        program.start();
        reload.setAction(() -> reload(path, settings.instance(), settings, RankAgentSettings.class, log));
        return EXIT_OK;
    }

    private static void stopOnShutdown(Runnable stop, EventLoop loop, AsyncEventSink log) {
        Thread hook = new Thread(
                () -> {
                    stop.run();
                    EntrySetup.endLoop(loop);
                    log.close();
                },
                "stop");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private static <T> void reload(Path path, String instance, T current, Class<T> type, EventSink events) {
        String outcome;
        try {
            T reloaded = new SettingsLoader().load(path, type);
            outcome = reloaded.equals(current) ? "no changes" : "changes take effect after a restart";
        } catch (JasminehubException e) {
            outcome = "keeping the previous settings: " + e.getMessage();
        }
        events.emit(new ControlEvent(ControlEventKind.SETTINGS_RELOADED, instance, outcome, 0));
    }
}

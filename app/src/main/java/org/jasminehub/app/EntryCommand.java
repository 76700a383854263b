package org.jasminehub.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.UUID;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.entry.EntryInstance;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.runtime.metrics.OperationsServer;
import org.jasminehub.runtime.settings.SettingsLoader;

/** Runs an entry instance until the process is terminated. */
@Parameters(commandDescription = "runs an entry instance")
final class EntryCommand extends Command {
    private final PrintStream out;

    @Parameter(names = "--settings", required = true, description = "the settings file")
    private Path settingsFile = Path.of("");

    EntryCommand(PrintStream out) {
        this.out = out;
    }

    @Override
    int run() {
        EntrySettings settings = new SettingsLoader().load(settingsFile, EntrySettings.class);
        ProcessRuntime.runUntilTermination(() -> start(settings));
        return Main.EXIT_OK;
    }

    /** Returns the action that stops the started program. */
    private Runnable start(EntrySettings settings) {
        ProcessRuntime runtime = new ProcessRuntime(settings.instance());
        EntryInstance entry = new EntryInstance(
                settings,
                runtime.system(),
                runtime.group(),
                () -> new RequestId(UUID.randomUUID().toString()),
                runtime.clock(),
                runtime.events(),
                runtime.metrics());
        OperationsServer operations =
                Operations.start(settings.host(), settings.operationsPort(), runtime.metrics(), entry::isReady);
        out.println("started " + settings.host() + ":" + entry.callerPort() + " operations " + operations.port());
        return () -> {
            entry.drain().toCompletableFuture().join();
            entry.close();
            operations.close();
            runtime.close();
        };
    }
}

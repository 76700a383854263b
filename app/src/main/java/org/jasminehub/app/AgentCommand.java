package org.jasminehub.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import org.jasminehub.agent.Agent;
import org.jasminehub.agent.AgentSettings;
import org.jasminehub.runtime.metrics.OperationsServer;
import org.jasminehub.runtime.settings.SettingsLoader;

/** Runs an agent until the process is terminated. */
@Parameters(commandDescription = "runs the agent beside an endpoint")
final class AgentCommand extends Command {
    private final PrintStream out;

    @Parameter(names = "--settings", required = true, description = "the settings file")
    private Path settingsFile = Path.of("");

    AgentCommand(PrintStream out) {
        this.out = out;
    }

    @Override
    int run() {
        AgentSettings settings = new SettingsLoader().load(settingsFile, AgentSettings.class);
        ProcessRuntime.runUntilTermination(() -> start(settings));
        return Main.EXIT_OK;
    }

    /** Returns the action that stops the started program. */
    private Runnable start(AgentSettings settings) {
        ProcessRuntime runtime = new ProcessRuntime(settings.instance());
        Agent agent = new Agent(
                settings, runtime.system(), runtime.group(), runtime.clock(), runtime.events(), runtime.metrics());
        OperationsServer operations =
                Operations.start(settings.host(), settings.operationsPort(), runtime.metrics(), () -> true);
        out.println("started " + settings.host() + ":" + agent.wirePort() + " operations " + operations.port());
        return () -> {
            agent.drain().toCompletableFuture().join();
            agent.close();
            operations.close();
            runtime.close();
        };
    }
}

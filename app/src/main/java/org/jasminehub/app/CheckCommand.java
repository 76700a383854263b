package org.jasminehub.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import org.jasminehub.agent.AgentSettings;
import org.jasminehub.core.document.TeamDocument;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.runtime.settings.SettingsLoader;
import org.jspecify.annotations.Nullable;

/** Checks settings files and documents without starting anything. */
@Parameters(commandDescription = "checks settings files and documents")
final class CheckCommand extends Command {
    private final PrintStream out;

    @Parameter(names = "--entry", description = "the settings file of an entry instance")
    private @Nullable Path entryFile;

    @Parameter(names = "--agent", description = "the settings file of an agent")
    private @Nullable Path agentFile;

    @Parameter(names = "--document", description = "a team's document")
    private @Nullable Path documentFile;

    CheckCommand(PrintStream out) {
        this.out = out;
    }

    @Override
    int run() {
        check(entryFile, EntrySettings.class);
        check(agentFile, AgentSettings.class);
        check(documentFile, TeamDocument.class);
        return Main.EXIT_OK;
    }

    private void check(@Nullable Path file, Class<?> type) {
        if (file != null) {
            new SettingsLoader().load(file, type);
            out.println(file + ": ok");
        }
    }
}

package org.jasminehub.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.jasminehub.app.demo.Demo;

/** Runs the complete system with stand-ins in one process, until the process is terminated. */
@Parameters(commandDescription = "runs the complete system with stand-ins, on loopback")
final class DemoCommand extends Command {
    private final PrintStream out;

    @Parameter(names = "--port", description = "the caller port of the first entry instance, 0 for a free one")
    private int port;

    DemoCommand(PrintStream out) {
        this.out = out;
    }

    @Override
    int run() {
        ProcessRuntime runtime = new ProcessRuntime("demo");
        Demo demo = new Demo(runtime, port);
        demo.awaitReady();
        out.println("ready " + String.join(" ", demo.entryAddresses()));
        out.println(demo.exampleCommands());
        ProcessRuntime.runUntilTermination(() -> () -> {
            demo.close();
            runtime.close();
        });
        return Main.EXIT_OK;
    }
}

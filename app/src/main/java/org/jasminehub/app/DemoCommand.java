package org.jasminehub.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.jasminehub.app.demo.Demo;

/** Runs the whole system in one process on stand-ins. */
@Parameters(commandDescription = "runs the whole system on stand-ins, on loopback")
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
        out.println(demo.commandsToPaste());
        ProcessRuntime.awaitTermination(() -> {
            demo.close();
            runtime.close();
        });
        return Main.EXIT_OK;
    }
}

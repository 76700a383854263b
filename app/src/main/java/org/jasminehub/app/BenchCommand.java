package org.jasminehub.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jasminehub.bench.documents.DocumentsBench;

/** Runs a measurement and prints its table. */
@Parameters(commandDescription = "runs a measurement and prints its table")
final class BenchCommand extends Command {
    private final PrintStream out;
    private final Map<String, Consumer<PrintStream>> benches = new TreeMap<>();

    @Parameter(description = "the measurement's name", required = true)
    private String name = "";

    BenchCommand(PrintStream out) {
        this.out = out;
        benches.put("documents", DocumentsBench::run);
    }

    @Override
    int run() {
        Consumer<PrintStream> bench = benches.get(name);
        if (bench == null) {
            throw new ParameterException("no measurement \"" + name + "\"; there are " + benches.keySet());
        }
        bench.accept(out);
        return Main.EXIT_OK;
    }
}

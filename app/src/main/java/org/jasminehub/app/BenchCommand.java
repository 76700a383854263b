package org.jasminehub.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jasminehub.app.demo.PathBench;
import org.jasminehub.bench.capacity.CapacityBench;
import org.jasminehub.bench.documents.DocumentsBench;
import org.jasminehub.bench.experts.ExpertsBench;
import org.jasminehub.bench.operation.OperationBench;
import org.jasminehub.bench.routing.RoutingBench;
import org.jasminehub.bench.start.StartBench;

/** Runs a benchmark and prints its results as a table. */
@Parameters(commandDescription = "runs a benchmark and prints its results as a table")
final class BenchCommand extends Command {
    private final PrintStream out;
    private final Map<String, Consumer<PrintStream>> benches = new TreeMap<>();

    @Parameter(description = "the name of the benchmark", required = true)
    private String name = "";

    BenchCommand(PrintStream out) {
        this.out = out;
        benches.put("capacity", CapacityBench::run);
        benches.put("documents", DocumentsBench::run);
        benches.put("experts", ExpertsBench::run);
        benches.put("operations", sink -> OperationBench.run(sink, new String[0]));
        benches.put("path", PathBench::run);
        benches.put("routing", sink -> RoutingBench.run(sink));
        benches.put("start", StartBench::run);
    }

    @Override
    int run() {
        Consumer<PrintStream> bench = benches.get(name);
        if (bench == null) {
            throw new ParameterException("unknown benchmark \"" + name + "\", expected one of " + benches.keySet());
        }
        bench.accept(out);
        return Main.EXIT_OK;
    }
}

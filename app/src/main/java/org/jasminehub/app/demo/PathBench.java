package org.jasminehub.app.demo;

import com.sun.management.OperatingSystemMXBean;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.jasminehub.app.ProcessRuntime;
import org.jasminehub.bench.BenchException;
import org.jasminehub.standin.EngineStandin;

/**
 * Measures the overhead that an entry instance and an agent add to an engine call, compared with direct calls in the
 * same run.
 *
 * <pre>{@code
 * PathBench.run(System.out);
 * }</pre>
 */
public final class PathBench {
    private static final int WARM_UP_REQUESTS = 3_000;
    private static final int MEASURED_REQUESTS = 6_000;
    private static final int CALLER_COUNT = 4;
    private static final int ROUNDS = 3;
    private static final int STATUS_OK = 200;
    private static final long MAX_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;
    private static final String BODY = "{\"model\":\"campaign-text\",\"max_tokens\":8,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"draft a caption\"}]}";

    private final HttpClient client = HttpClient.newHttpClient();
    private final OperatingSystemMXBean machine = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private PathBench() {}

    /** Starts the demo, runs the measurement and prints a table of the results. */
    public static void run(PrintStream out) {
        try (ProcessRuntime runtime = new ProcessRuntime("bench");
                Demo demo = new Demo(runtime, 0)) {
            demo.awaitReady();
            demo.engines().forEach(engine -> engine.setStepMillis(0));
            new PathBench().measure(out, demo);
        }
    }

    private void measure(PrintStream out, Demo demo) {
        EngineStandin engine = demo.engines().get(0);
        String directUrl = engine.address().toUrl();
        String hubUrl = "http://" + demo.entryAddresses().get(0);
        out.println(CALLER_COUNT + " callers, " + MEASURED_REQUESTS + " requests per row, everything in one process");
        out.println("path     p50 us   p99 us   requests/s   processor us/request");
        load(directUrl, WARM_UP_REQUESTS);
        load(hubUrl, WARM_UP_REQUESTS);
        List<Row> directRows = new ArrayList<>();
        List<Row> hubRows = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            directRows.add(printRow(out, "direct", load(directUrl, MEASURED_REQUESTS)));
            hubRows.add(printRow(out, "through", load(hubUrl, MEASURED_REQUESTS)));
        }
        double added = mean(hubRows) - mean(directRows);
        out.printf(
                Locale.ROOT,
                "entry instance and agent together: %.0f us of processor time per request, %.0f requests/s per core%n",
                added,
                MICROS_PER_SECOND / added);
    }

    private static double mean(List<Row> rows) {
        return rows.stream().mapToDouble(Row::processorMicros).average().orElse(0);
    }

    private static Row printRow(PrintStream out, String path, Row row) {
        out.printf(
                Locale.ROOT,
                "%-8s %6d   %6d   %10.0f   %12.0f%n",
                path,
                row.latencyMicros().getValueAtPercentile(MEDIAN_PERCENTILE),
                row.latencyMicros().getValueAtPercentile(TAIL_PERCENTILE),
                row.requestsPerSecond(),
                row.processorMicros());
        return row;
    }

    private Row load(String url, int requests) {
        Histogram latencyMicros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
        HttpRequest request = HttpRequest.newBuilder(URI.create(url + "/v1/chat/completions"))
                .header("X-Workspace", "brand-managers")
                .POST(HttpRequest.BodyPublishers.ofString(BODY))
                .build();
        long processorNanos = machine.getProcessCpuTime();
        long startNanos = System.nanoTime();
        runCallers(request, requests / CALLER_COUNT, latencyMicros);
        double wallMicros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
        double processorMicros = (machine.getProcessCpuTime() - processorNanos) / NANOS_PER_MICRO;
        return new Row(latencyMicros, requests * MICROS_PER_SECOND / wallMicros, processorMicros / requests);
    }

    private void runCallers(HttpRequest request, int requestsEach, Histogram latencyMicros) {
        ExecutorService callers = Executors.newFixedThreadPool(CALLER_COUNT);
        List<CompletableFuture<Void>> running = new ArrayList<>();
        for (int i = 0; i < CALLER_COUNT; i++) {
            running.add(CompletableFuture.runAsync(() -> call(request, requestsEach, latencyMicros), callers));
        }
        running.forEach(CompletableFuture::join);
        callers.shutdown();
    }

    private void call(HttpRequest request, int count, Histogram latencyMicros) {
        for (int i = 0; i < count; i++) {
            long startNanos = System.nanoTime();
            HttpResponse<String> response = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                    .join();
            if (response.statusCode() != STATUS_OK) {
                throw new BenchException("unexpected status " + response.statusCode() + ": " + response.body(), null);
            }
            latencyMicros.recordValue((long) ((System.nanoTime() - startNanos) / NANOS_PER_MICRO));
        }
    }

    /** One row of the table. */
    private record Row(Histogram latencyMicros, double requestsPerSecond, double processorMicros) {}
}

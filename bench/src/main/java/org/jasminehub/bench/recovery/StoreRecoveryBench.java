package org.jasminehub.bench.recovery;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jasminehub.bench.BenchException;
import org.jasminehub.bench.start.PackagedPrograms;
import org.jasminehub.bench.start.StartedProgram;

/**
 * Measures how long the packaged entry instance needs after an outage of the store in which versions of the configuration
 * were published: the time from the return of the store to the first call served with a key of the last version, and how
 * many calls were served with a key that this version no longer holds. Also counts the calls that are served in calm times
 * while records are appended without a pause.
 *
 * <p>Requires the artifacts of {@code deploy/build}.
 */
public final class StoreRecoveryBench {
    private static final int RUNS = 5;
    private static final int VERSIONS = 24;

    /** Routes of a configuration of 125 kB, as 400 routes with long names have. */
    private static final int SMALL_ROUTES = 500;

    private static final int LARGE_ROUTES = 1_000;
    private static final String OLD_KEY = "key-1";
    private static final String NEW_KEY = "key-2";

    /** Longer than an instance may use a configuration that it cannot confirm. */
    private static final long OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(6_000);

    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int REGISTRATIONS_PER_SECOND = 500;
    private static final int REGISTRATIONS_PER_OTHER = 10;
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long CALL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int TIMEOUT_MILLIS = 10_000;

    private final PrintStream out;
    private final PackagedPrograms programs;
    private final Path folder;

    private StoreRecoveryBench(PrintStream out, PackagedPrograms programs, Path folder) {
        this.out = out;
        this.programs = programs;
        this.folder = folder;
    }

    /** Runs the program and prints a line for each run. */
    public static void run(PrintStream out) {
        // Otherwise the servers of this bench may hold responses back for 40 ms.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        try {
            PackagedPrograms programs = PackagedPrograms.find();
            Path folder = Files.createTempDirectory("recovery-bench");
            StoreRecoveryBench bench = new StoreRecoveryBench(out, programs, folder);
            out.printf(
                    "%d versions in an outage; time from its end to the first call with the last version.%n", VERSIONS);
            bench.measure(SMALL_ROUTES);
            bench.measure(LARGE_ROUTES);
            bench.measureCalm();
        } catch (IOException e) {
            throw new BenchException("cannot run the program", e);
        }
    }

    private void measure(int routes) throws IOException {
        double[] millis = new double[RUNS];
        for (int run = 0; run < RUNS; run++) {
            millis[run] = measureOnce(routes);
        }
        Arrays.sort(millis);
        out.printf(
                "%d routes, %.1f MB: median %.0f ms, from %.0f to %.0f ms%n",
                routes,
                VERSIONS * configuration(1, OLD_KEY, routes).length() / 1e6,
                millis[RUNS / 2],
                millis[0],
                millis[RUNS - 1]);
    }

    /** What is measured with an instance that listens on {@code port} and serves calls. */
    private interface Measurement {
        double measure(int port, RecoveryStore store) throws IOException;
    }

    private double measureOnce(int routes) throws IOException {
        return measure(routes, (port, store) -> {
            store.setDown(true);
            for (int version = 2; version <= VERSIONS; version++) {
                store.put("keyed.op", "config", configuration(version, OLD_KEY, routes));
            }
            store.put("keyed.op", "config", configuration(VERSIONS + 1, NEW_KEY, routes));
            LockSupport.parkNanos(OUTAGE_NANOS);
            store.takeReads();
            store.setDown(false);
            return recover(port, store);
        });
    }

    private double measure(int routes, Measurement measurement) throws IOException {
        ExecutorService threads = Executors.newCachedThreadPool();
        HttpServer endpoint = startEndpoint(threads);
        int port = PackagedPrograms.freePort();
        try (RecoveryStore store = new RecoveryStore()) {
            Path settings = folder.resolve("entry.yaml");
            Files.writeString(settings, PackagedPrograms.entrySettings(port, store.port()));
            store.put("keyed.op", "config", configuration(1, OLD_KEY, routes));
            store.put(
                    "keyed.servers",
                    "e-1",
                    registration("plain", endpoint.getAddress().getPort(), 1));
            try (StartedProgram program = programs.start("entry", settings, List.of(), folder.resolve("entry.log"))) {
                program.awaitListening(port);
                awaitServed(port, OLD_KEY);
                return measurement.measure(port, store);
            }
        } finally {
            endpoint.stop(0);
            threads.shutdownNow();
        }
    }

    private void measureCalm() throws IOException {
        measure(SMALL_ROUTES, (port, store) -> {
            Thread writer = new Thread(() -> appendWithoutPause(store), "writer");
            writer.setDaemon(true);
            writer.start();
            long endNanos = System.nanoTime() + CALM_NANOS;
            int calls = 0;
            int served = 0;
            while (System.nanoTime() < endNanos) {
                calls++;
                served += isServed(port, OLD_KEY) ? 1 : 0;
                LockSupport.parkNanos(CALL_PAUSE_NANOS);
            }
            writer.interrupt();
            out.printf(
                    "%d registrations and %d records of the operator a second: %d of %d calls served, %s%n",
                    REGISTRATIONS_PER_SECOND,
                    REGISTRATIONS_PER_SECOND / REGISTRATIONS_PER_OTHER,
                    served,
                    calls,
                    store.takeReads());
            return served;
        });
    }

    /** Appends registrations of endpoints that change all the time, and records of the operator that are no version. */
    private static void appendWithoutPause(RecoveryStore store) {
        for (int number = 1; !Thread.currentThread().isInterrupted(); number++) {
            store.put(
                    "keyed.servers", "other-" + number % REGISTRATIONS_PER_SECOND, registration("another", 1, number));
            if (number % REGISTRATIONS_PER_OTHER == 0) {
                store.put("keyed.op", "note", Integer.toString(number));
            }
            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1) / REGISTRATIONS_PER_SECOND);
        }
    }

    private static String registration(String service, int port, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"here\",\"slots\":4,\"state\":\"ready\",\"born\":1,\"sequence\":" + sequence + "}";
    }

    private double recover(int port, RecoveryStore store) throws IOException {
        long startNanos = System.nanoTime();
        int servedWithOldKey = 0;
        while (!isServed(port, NEW_KEY)) {
            servedWithOldKey += isServed(port, OLD_KEY) ? 1 : 0;
            if (System.nanoTime() - startNanos > LIMIT_NANOS) {
                throw new BenchException("no call was served after the outage", null);
            }
            LockSupport.parkNanos(CALL_PAUSE_NANOS);
        }
        double millis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
        out.printf("  %.0f ms, %d calls with the withdrawn key, %s%n", millis, servedWithOldKey, store.takeReads());
        return millis;
    }

    private static void awaitServed(int port, String key) throws IOException {
        long endNanos = System.nanoTime() + LIMIT_NANOS;
        while (!isServed(port, key)) {
            if (System.nanoTime() > endNanos) {
                throw new BenchException("no call was served after the start", null);
            }
            LockSupport.parkNanos(CALL_PAUSE_NANOS);
        }
    }

    private static boolean isServed(int port, String key) throws IOException {
        String request = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Attempt-Id: a\r\n"
                + "X-Deadline-Milliseconds: 5000\r\nAuthorization: Bearer " + key + "\r\n\r\n";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return answer.startsWith("HTTP/1.1 200");
        }
    }

    private static HttpServer startEndpoint(ExecutorService threads) throws IOException {
        HttpServer endpoint = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        endpoint.setExecutor(threads);
        endpoint.createContext("/", exchange -> {
            try (exchange) {
                exchange.getResponseHeaders()
                        .set("X-Attempt-Id", exchange.getRequestHeaders().getFirst("X-Attempt-Id"));
                exchange.getResponseHeaders().set("X-Response-Signature", "s");
                exchange.sendResponseHeaders(200, 2);
                exchange.getResponseBody().write("ok".getBytes(StandardCharsets.UTF_8));
            }
        });
        endpoint.start();
        return endpoint;
    }

    private static String configuration(int version, String key, int routes) {
        String list = IntStream.range(0, routes)
                .mapToObj(index -> """
                        {"name":"route-%1$d","host":"h.example","path_prefix":"/%2$s/","kind":"safe","timeout_ms":8000,
                        "target_latency_ms":500,"gap_aim_ms":0,"priority":1,"service":"plain","attempts":2,
                        "public":false,"session_affinity":false,"resume_streams":false}""".formatted(index, index == 0 ? "r" : "route/" + index))
                .collect(Collectors.joining(","));
        return "{\"version\":" + version + ",\"routes\":[" + list
                + "],\"services\":[{\"name\":\"plain\",\"health_path\":\"/health\",\"connection_limit\":100}],"
                + "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"" + key + "\"],\"priority\":1}]}";
    }
}

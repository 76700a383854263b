package org.jasminehub.runtime.metrics;

import com.codahale.metrics.MetricRegistry;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The operations endpoint of a process: metrics for Prometheus at {@code /metrics} and health checks at {@code /livez} and
 * {@code /readyz}.
 *
 * <pre>{@code
 * try (OperationsServer server = new OperationsServer("127.0.0.1", 0, metrics, () -> true, control::isReady)) {
 *     int port = server.port();
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class OperationsServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final HttpServer server;
    private final ExecutorService executor;
    private final CollectorRegistry collectors = new CollectorRegistry();

    /**
     * Starts the endpoint on {@code host} and {@code port}; port 0 selects a free port.
     *
     * @throws IOException if the port cannot be bound
     */
    public OperationsServer(String host, int port, MetricRegistry metrics, HealthProbe liveness, HealthProbe readiness)
            throws IOException {
        collectors.register(new DropwizardExports(metrics));
        this.executor = Executors.newSingleThreadExecutor(OperationsServer::newThread);
        this.server = HttpServer.create(new InetSocketAddress(host, port), 0);
        server.setExecutor(executor);
        server.createContext("/metrics", exchange -> respond(exchange, OK, renderMetrics()));
        server.createContext("/livez", exchange -> respondHealth(exchange, liveness));
        server.createContext("/readyz", exchange -> respondHealth(exchange, readiness));
        server.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "operations");
        thread.setDaemon(true);
        return thread;
    }

    private String renderMetrics() throws IOException {
        StringWriter writer = new StringWriter();
        TextFormat.write004(writer, collectors.metricFamilySamples());
        return writer.toString();
    }

    private static void respondHealth(HttpExchange exchange, HealthProbe probe) throws IOException {
        boolean healthy = probe.isHealthy();
        respond(exchange, healthy ? OK : UNAVAILABLE, healthy ? "ok\n" : "unavailable\n");
    }

    private static void respond(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", TextFormat.CONTENT_TYPE_004);
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}

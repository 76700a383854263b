package org.jasminehub.gateway.telemetry;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerHandler;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.CallerResponse;

/** Serves the metrics of the process in the Prometheus text format. */
public final class MetricsHandler implements CallerHandler {
    /** The path at which metrics are served. */
    public static final String PATH = "/metrics";

    private final CollectorRegistry collectors = new CollectorRegistry();

    /** Creates a handler that serves {@code metrics}. */
    public MetricsHandler(MetricRegistry metrics) {
        collectors.register(new DropwizardExports(metrics));
    }

    @Override
    public boolean needsBody(CallerRequest request) {
        return false;
    }

    @Override
    public CallerExchange handle(CallerRequest request, CallerResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.CONTENT_TYPE, TextFormat.CONTENT_TYPE_004);
        if (request.path().equals(PATH)) {
            response.complete(HttpResponseStatus.OK, headers, render().getBytes(StandardCharsets.UTF_8));
        } else {
            response.complete(HttpResponseStatus.NOT_FOUND, headers, new byte[0]);
        }
        return CallerExchange.COMPLETED;
    }

    private String render() {
        StringWriter writer = new StringWriter();
        try {
            TextFormat.write004(writer, collectors.metricFamilySamples());
        } catch (IOException e) {
            // A StringWriter never throws an IOException.
            throw new UncheckedIOException(e);
        }
        return writer.toString();
    }
}

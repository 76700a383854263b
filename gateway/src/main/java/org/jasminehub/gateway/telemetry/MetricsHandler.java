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
import org.jasminehub.gateway.net.CallerAnswer;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerHandler;
import org.jasminehub.gateway.net.CallerRequest;

/** Serves the metrics of a process as text. */
public final class MetricsHandler implements CallerHandler {
    /** Where metrics are served. */
    public static final String PATH = "/metrics";

    private final CollectorRegistry collectors = new CollectorRegistry();

    /** Creates a handler of {@code metrics}. */
    public MetricsHandler(MetricRegistry metrics) {
        collectors.register(new DropwizardExports(metrics));
    }

    @Override
    public CallerExchange handle(CallerRequest request, CallerAnswer answer) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.CONTENT_TYPE, TextFormat.CONTENT_TYPE_004);
        if (request.path().equals(PATH)) {
            answer.whole(HttpResponseStatus.OK, headers, render().getBytes(StandardCharsets.UTF_8));
        } else {
            answer.whole(HttpResponseStatus.NOT_FOUND, headers, new byte[0]);
        }
        return CallerExchange.NOTHING_OPEN;
    }

    private String render() {
        StringWriter writer = new StringWriter();
        try {
            TextFormat.write004(writer, collectors.metricFamilySamples());
        } catch (IOException e) {
            // A StringWriter does not fail.
            throw new UncheckedIOException(e);
        }
        return writer.toString();
    }
}

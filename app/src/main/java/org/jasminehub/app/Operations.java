package org.jasminehub.app;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import org.jasminehub.runtime.metrics.HealthProbe;
import org.jasminehub.runtime.metrics.OperationsServer;
import org.jasminehub.runtime.settings.SettingsException;

/** Starts operations servers; a port that cannot be bound is reported as invalid settings. */
final class Operations {
    private Operations() {}

    static OperationsServer start(String host, int port, MetricRegistry metrics, HealthProbe readiness) {
        try {
            return new OperationsServer(host, port, metrics, () -> true, readiness);
        } catch (IOException e) {
            throw new SettingsException("settings", "operationsPort", Integer.toString(port), "a free port");
        }
    }
}

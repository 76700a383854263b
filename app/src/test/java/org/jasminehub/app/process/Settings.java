package org.jasminehub.app.process;

import org.jasminehub.core.membership.Target;
import org.jasminehub.platform.http.Address;

/** Texts of settings files for tests; every port is 0, which selects a free one. */
public final class Settings {
    private Settings() {}

    /** Returns the settings of an agent beside {@code endpoint}. */
    public static String agent(String instance, Target target, Address endpoint) {
        return String.join(
                "\n",
                "instance: " + instance,
                "failureDomain: sul-a",
                "host: 127.0.0.1",
                "wirePort: 0",
                "operationsPort: 0",
                "target: " + target,
                "endpoint: {host: " + endpoint.host() + ", port: " + endpoint.port() + "}",
                "loadIntervalMillis: 100",
                "");
    }

    /** Returns the settings of an entry instance. */
    public static String entry(String instance, Address log, Address list) {
        return String.join(
                "\n",
                "instance: " + instance,
                "failureDomain: sul-a",
                "host: 127.0.0.1",
                "callerPort: 0",
                "wirePort: 0",
                "operationsPort: 0",
                "log: {host: " + log.host() + ", port: " + log.port() + "}",
                "instanceList: {host: " + list.host() + ", port: " + list.port() + "}",
                "listIntervalMillis: 100",
                "addressTtlMillis: 1000",
                "maxBodyBytes: 100000",
                "");
    }
}

package org.jasminehub.ctl;

import com.google.common.net.HostAndPort;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.platform.http.Address;
import org.jasminehub.platform.http.JsonHttpClient;
import org.jasminehub.platform.log.HttpLogService;
import org.jasminehub.platform.log.LogService;

/** Connections over HTTP. Thread-safe. */
final class HttpConnections implements Connections {
    private static final int TIMEOUT_MILLIS = 3_000;

    private final ClassicActorSystemProvider system;

    HttpConnections(ClassicActorSystemProvider system) {
        this.system = system;
    }

    @Override
    public LogService openLog(String address) {
        return new HttpLogService(system, parse(address), TIMEOUT_MILLIS);
    }

    @Override
    public CompletionStage<StatusJson> fetchStatus(String address) {
        return new JsonHttpClient(system, "entry", parse(address), TIMEOUT_MILLIS).get("/v1/status", StatusJson.class);
    }

    private static Address parse(String text) {
        try {
            HostAndPort address = HostAndPort.fromString(text);
            return new Address(address.getHost(), address.getPort());
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw new CtlException(
                    ErrorCode.ARGUMENT_INVALID, "\"" + text + "\" is not an address of the form HOST:PORT", e);
        }
    }
}

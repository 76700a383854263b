package org.jasminehub.gateway;

import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.gateway.call.CallEnded;
import org.jasminehub.gateway.call.CallEventKind;
import org.jasminehub.gateway.control.ConfigurationController;

/** Logs requests that could not be decoded and therefore did not become calls. */
record MalformedRequestLog(EventSink events, ConfigurationController configuration) {
    void onMalformed(int status, String reason) {
        events.emit(new CallEnded(
                CallEventKind.REQUEST_MALFORMED,
                "",
                "",
                "",
                status,
                "request-malformed",
                reason,
                "",
                0,
                0,
                0,
                -1,
                0,
                configuration.inForce().map(RouteTable::version).orElse(0L),
                configuration.ageMillis()));
    }
}

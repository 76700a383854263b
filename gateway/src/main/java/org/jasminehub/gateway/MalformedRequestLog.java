package org.jasminehub.gateway;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.gateway.call.CallEnded;
import org.jasminehub.gateway.call.CallEventKind;
import org.jasminehub.gateway.control.ConfigurationController;

/** Logs requests that did not become calls, because they could not be decoded or their processing failed. */
record MalformedRequestLog(EventSink events, ConfigurationController configuration) {
    void onMalformed(int status, String reason) {
        boolean isOwnFailure = status == ErrorCode.INTERNAL.httpStatus();
        events.emit(new CallEnded(
                isOwnFailure ? CallEventKind.CALL_REFUSED : CallEventKind.REQUEST_MALFORMED,
                "",
                "",
                "",
                status,
                (isOwnFailure ? ErrorCode.INTERNAL : ErrorCode.REQUEST_MALFORMED).code(),
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

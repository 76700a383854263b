package org.jasminehub.gateway;

import java.util.List;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.gateway.call.CallEnded;
import org.jasminehub.gateway.call.CallEventKind;
import org.jasminehub.gateway.control.ConfigurationController;

/** Logs requests that did not become calls, because they could not be decoded or their processing failed. */
record MalformedRequestLog(EventSink events, ConfigurationController configuration) {
    void onMalformed(int status, String reason) {
        ErrorCode code = codeOf(status);
        events.emit(new CallEnded(
                code == ErrorCode.REQUEST_MALFORMED ? CallEventKind.REQUEST_MALFORMED : CallEventKind.CALL_REFUSED,
                "",
                "",
                "",
                status,
                code.code(),
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

    private static ErrorCode codeOf(int status) {
        for (ErrorCode code : List.of(ErrorCode.INTERNAL, ErrorCode.MEMORY_EXHAUSTED, ErrorCode.REQUEST_STALLED)) {
            if (code.httpStatus() == status) {
                return code;
            }
        }
        return ErrorCode.REQUEST_MALFORMED;
    }
}

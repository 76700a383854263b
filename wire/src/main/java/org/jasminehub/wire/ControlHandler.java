package org.jasminehub.wire;

import java.util.concurrent.CompletionStage;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;

/** Handles control requests; called on an I/O thread, must not block. */
@FunctionalInterface
public interface ControlHandler {
    /** Returns the reply to {@code request}; the transport sets its correlation id. */
    CompletionStage<ControlReply.Builder> onRequest(ControlRequest request);
}

package org.jasminehub.wire;

import java.util.concurrent.CompletionStage;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;

/** Answers control requests; called on a thread of the transport, must not block. */
@FunctionalInterface
public interface ControlHandler {
    /** Returns the reply to {@code request}; the correlation id is filled in by the transport. */
    CompletionStage<ControlReply.Builder> onRequest(ControlRequest request);
}

package org.jasminehub.wire;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.wire.generated.ControlFailure;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;

/**
 * Dispatches control requests to the handler of their kind; replies with a failure where a kind has no handler.
 *
 * <pre>{@code
 * ControlRouter router = new ControlRouter();
 * router.on(ControlRequest.BodyCase.STATUS, request -> ...);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class ControlRouter implements ControlHandler {
    private final Map<ControlRequest.BodyCase, ControlHandler> handlers = new ConcurrentHashMap<>();

    /** Registers the handler for requests of {@code kind}; it replaces an earlier one. */
    public void on(ControlRequest.BodyCase kind, ControlHandler handler) {
        handlers.put(kind, handler);
    }

    @Override
    public CompletionStage<ControlReply.Builder> onRequest(ControlRequest request) {
        ControlHandler handler = handlers.get(request.getBodyCase());
        if (handler == null) {
            return CompletableFuture.completedFuture(unsupported(request));
        }
        return handler.onRequest(request);
    }

    private static ControlReply.Builder unsupported(ControlRequest request) {
        return ControlReply.newBuilder()
                .setFailure(ControlFailure.newBuilder()
                        .setCode(ErrorCode.PROTOCOL_VIOLATION.code())
                        .setMessage("no handler of " + request.getBodyCase()));
    }
}

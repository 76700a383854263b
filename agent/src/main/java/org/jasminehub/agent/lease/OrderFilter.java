package org.jasminehub.agent.lease;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.lease.OrderGate;
import org.jasminehub.core.lease.OrderVerdict;
import org.jasminehub.core.lease.ShardId;
import org.jasminehub.wire.ControlHandler;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.OrderReply;
import org.jasminehub.wire.generated.OrderRequest;

/**
 * Forwards the orders that the gate admits and refuses all others.
 *
 * <pre>{@code
 * router.on(ControlRequest.BodyCase.ORDER, new OrderFilter(gate, engineOrders::send));
 * }</pre>
 *
 * <p>Orders are forwarded one at a time, in the sequence in which they were admitted. Thread-safe.
 */
public final class OrderFilter implements ControlHandler {
    private final OrderGate gate;
    private final Function<OrderRequest, CompletionStage<OrderReply>> next;

    /** Creates a filter; every use of {@code gate} must hold the monitor of {@code gate}. */
    public OrderFilter(OrderGate gate, Function<OrderRequest, CompletionStage<OrderReply>> next) {
        this.gate = gate;
        this.next = next;
    }

    @Override
    public CompletionStage<ControlReply.Builder> onRequest(ControlRequest request) {
        return handle(request.getOrder()).thenApply(ControlReply.newBuilder()::setOrder);
    }

    private CompletionStage<OrderReply> handle(OrderRequest order) {
        // Each order is forwarded before the next one is admitted, so a lower number cannot overtake a higher one.
        synchronized (gate) {
            if (order.getShard().isBlank()) {
                return refused(ErrorCode.PROTOCOL_VIOLATION, -1);
            }
            ShardId shard = new ShardId(order.getShard());
            OrderVerdict verdict = gate.admit(shard, order.getFencingNumber(), order.getIncarnation());
            return switch (verdict) {
                case ACCEPTED -> next.apply(order);
                case NUMBER_UNKNOWN -> refused(ErrorCode.NOT_READY, -1);
                case NUMBER_OLD, OTHER_INCARNATION -> refused(ErrorCode.ORDER_FENCED, gate.lowestValidNumber(shard));
            };
        }
    }

    private static CompletionStage<OrderReply> refused(ErrorCode code, long lowestValidNumber) {
        return CompletableFuture.completedFuture(OrderReply.newBuilder()
                .setAccepted(false)
                .setCode(code.code())
                .setNewestFencingNumber(Math.max(0, lowestValidNumber))
                .build());
    }
}

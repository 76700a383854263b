package org.jasminehub.core.lease;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * Decides at an agent which orders to the endpoint are taken, also where the engine ignores fencing numbers.
 *
 * <p>It takes nothing for a shard before the agent has learnt the shard's present number by reading the log from before
 * its own start to the end. After that it never takes a number lower than one it was shown.
 *
 * <pre>{@code
 * gate.learn(shard, table.lowestValidNumber(shard));
 * if (gate.admit(shard, order.fencingNumber(), order.incarnation()) == OrderVerdict.ACCEPTED) {
 *     engine.send(order);
 * }
 * }</pre>
 *
 * <p>Not safe for use by several threads; the order must be sent to the engine before the next one is admitted.
 */
public final class OrderGate {
    private static final long UNKNOWN_NUMBER = -1;

    private final long incarnation;
    private final EventSink events;
    private final Map<ShardId, Long> learntNumbers = new HashMap<>();

    /** Creates a gate that has learnt nothing, for an agent with {@code incarnation}. */
    public OrderGate(long incarnation, EventSink events) {
        this.incarnation = Checks.notNegative("incarnation", incarnation);
        this.events = events;
    }

    /** Takes the result of reading the log to its end; a negative number teaches nothing, a lower one lowers nothing. */
    public void learn(ShardId shard, long lowestValidNumber) {
        if (lowestValidNumber < 0) {
            return;
        }
        boolean isFirst = !learntNumbers.containsKey(shard);
        learntNumbers.merge(shard, lowestValidNumber, Math::max);
        if (isFirst) {
            events.emit(new FencingNumberLearnt(shard.value(), lowestValidNumber));
        }
    }

    /** Decides on an order for {@code shard} that carries {@code fencingNumber} and names {@code targetIncarnation}. */
    public OrderVerdict admit(ShardId shard, long fencingNumber, long targetIncarnation) {
        OrderVerdict verdict = verdict(shard, fencingNumber, targetIncarnation);
        if (verdict == OrderVerdict.ACCEPTED) {
            learntNumbers.put(shard, fencingNumber);
        } else {
            events.emit(new OrderRefused(shard.value(), verdict, fencingNumber, lowestValidNumber(shard)));
        }
        return verdict;
    }

    /** Returns the lowest number that is taken for {@code shard}, or -1 while none is. */
    public long lowestValidNumber(ShardId shard) {
        return learntNumbers.getOrDefault(shard, UNKNOWN_NUMBER);
    }

    private OrderVerdict verdict(ShardId shard, long fencingNumber, long targetIncarnation) {
        if (targetIncarnation != incarnation) {
            return OrderVerdict.OTHER_INCARNATION;
        }
        @Nullable Long lowest = learntNumbers.get(shard);
        if (lowest == null) {
            return OrderVerdict.NUMBER_UNKNOWN;
        }
        return fencingNumber < lowest ? OrderVerdict.NUMBER_OLD : OrderVerdict.ACCEPTED;
    }
}

package org.jasminehub.core.lease;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * Decides which orders an agent accepts for its endpoint, based on their fencing numbers.
 *
 * <p>The check is made by the agent because the engine itself may ignore fencing numbers. Orders for a shard are
 * refused until the agent has learnt the lowest valid fencing number of the shard, which requires reading the log from
 * an offset before the start of the agent up to its end. From then on, an order is refused if its number is lower than
 * the learnt number or than the number of an order accepted earlier.
 *
 * <pre>{@code
 * gate.raiseLowestValidNumber(shard, table.lowestValidNumber(shard));
 * if (gate.admit(shard, order.fencingNumber(), order.incarnation()) == OrderVerdict.ACCEPTED) {
 *     engine.send(order);
 * }
 * }</pre>
 *
 * <p>Not thread-safe; an order must be sent to the engine before the next order is checked.
 */
public final class OrderGate {
    private static final long UNKNOWN_NUMBER = -1;

    private final long incarnation;
    private final EventSink events;
    private final Map<ShardId, Long> lowestValidNumbers = new HashMap<>();

    /** Creates a gate for an agent with {@code incarnation} that does not know any valid fencing number yet. */
    public OrderGate(long incarnation, EventSink events) {
        this.incarnation = Checks.notNegative("incarnation", incarnation);
        this.events = events;
    }

    /**
     * Raises the lowest valid fencing number of {@code shard} to the value found by reading the log to its end.
     *
     * <p>A negative value means that the number could not be determined and is ignored, as is a value lower than the
     * one already known.
     */
    public void raiseLowestValidNumber(ShardId shard, long lowestValidNumber) {
        if (lowestValidNumber < 0) {
            return;
        }
        boolean isFirst = !lowestValidNumbers.containsKey(shard);
        lowestValidNumbers.merge(shard, lowestValidNumber, Math::max);
        if (isFirst) {
            events.emit(new FencingNumberLearnt(shard.value(), lowestValidNumber));
        }
    }

    /** Decides whether to accept an order for {@code shard} with the given fencing number and target incarnation. */
    public OrderVerdict admit(ShardId shard, long fencingNumber, long targetIncarnation) {
        OrderVerdict verdict = verdict(shard, fencingNumber, targetIncarnation);
        if (verdict == OrderVerdict.ACCEPTED) {
            lowestValidNumbers.put(shard, fencingNumber);
        } else {
            events.emit(new OrderRefused(shard.value(), verdict, fencingNumber, lowestValidNumber(shard)));
        }
        return verdict;
    }

    /** Returns the lowest fencing number accepted for {@code shard}, or -1 if it is not known yet. */
    public long lowestValidNumber(ShardId shard) {
        return lowestValidNumbers.getOrDefault(shard, UNKNOWN_NUMBER);
    }

    private OrderVerdict verdict(ShardId shard, long fencingNumber, long targetIncarnation) {
        if (targetIncarnation != incarnation) {
            return OrderVerdict.OTHER_INCARNATION;
        }
        @Nullable Long lowest = lowestValidNumbers.get(shard);
        if (lowest == null) {
            return OrderVerdict.NUMBER_UNKNOWN;
        }
        return fencingNumber < lowest ? OrderVerdict.NUMBER_OLD : OrderVerdict.ACCEPTED;
    }
}

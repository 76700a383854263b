package org.jasminehub.core.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.identity.InstanceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class OrderGateTest {
    private static final ShardId SHARD = new ShardId("shard-0");
    private static final long INCARNATION = 3;

    private final List<Event> events = new ArrayList<>();
    private final OrderGate gate = new OrderGate(INCARNATION, events::add);

    private static LeaseRecord claim(long readToOffset) {
        return new LeaseRecord(LeaseAction.CLAIM, SHARD, new InstanceId("entry-1"), 1, 0, readToOffset, readToOffset);
    }

    @Nested
    class AfterStart {
        @Test
        void testOrderIsRefusedWhileTheLowestValidNumberIsUnknown() {
            assertEquals(OrderVerdict.NUMBER_UNKNOWN, gate.admit(SHARD, 900, INCARNATION));
            assertEquals(List.of(new OrderRefused("shard-0", OrderVerdict.NUMBER_UNKNOWN, 900, -1)), events);
        }

        @Test
        void testOutdatedNumberIsRefusedAfterReadingTheLog() {
            LeaseTable table = new LeaseTable(0);
            table.apply(10, claim(10));
            table.apply(20, claim(20));
            gate.raiseLowestValidNumber(SHARD, table.lowestValidNumber(SHARD));
            assertEquals(OrderVerdict.NUMBER_OLD, gate.admit(SHARD, 10, INCARNATION));
            assertEquals(OrderVerdict.ACCEPTED, gate.admit(SHARD, 20, INCARNATION));
        }

        @Test
        void testNumberBelowTheFirstOffsetOfTheLogIsRefused() {
            LeaseTable table = new LeaseTable(500);
            gate.raiseLowestValidNumber(SHARD, table.lowestValidNumber(SHARD));
            assertEquals(OrderVerdict.NUMBER_OLD, gate.admit(SHARD, 10, INCARNATION));
        }

        @Test
        void testRecordWithUndeterminedEffectDoesNotSetTheNumber() {
            LeaseTable table = new LeaseTable(500);
            table.apply(510, claim(490));
            gate.raiseLowestValidNumber(SHARD, table.lowestValidNumber(SHARD));
            assertEquals(OrderVerdict.NUMBER_UNKNOWN, gate.admit(SHARD, 510, INCARNATION));
        }

        @Test
        void testOrderForAnEarlierIncarnationIsRefused() {
            gate.raiseLowestValidNumber(SHARD, 1);
            assertEquals(OrderVerdict.OTHER_INCARNATION, gate.admit(SHARD, 5, INCARNATION - 1));
        }
    }

    @Nested
    class PausedHolder {
        @Test
        void testOrderOfAPausedHolderIsRefusedAfterAnOrderOfItsSuccessor() {
            gate.raiseLowestValidNumber(SHARD, 10);
            assertEquals(OrderVerdict.ACCEPTED, gate.admit(SHARD, 10, INCARNATION));
            assertEquals(OrderVerdict.ACCEPTED, gate.admit(SHARD, 20, INCARNATION));
            assertEquals(OrderVerdict.NUMBER_OLD, gate.admit(SHARD, 10, INCARNATION));
        }

        @Test
        void testLaterReadOfAnOlderNumberDoesNotLowerTheNumber() {
            gate.raiseLowestValidNumber(SHARD, 20);
            gate.raiseLowestValidNumber(SHARD, 10);
            assertEquals(OrderVerdict.NUMBER_OLD, gate.admit(SHARD, 10, INCARNATION));
        }
    }
}

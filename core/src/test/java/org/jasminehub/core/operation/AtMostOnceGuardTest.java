package org.jasminehub.core.operation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Objects;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class AtMostOnceGuardTest {
    private static final long LEASE_MILLIS = 300;
    private static final OperationTimes TIMES = OperationTimes.of(1000, LEASE_MILLIS, 100, 50);
    private static final OperationResult BOOKED = new OperationResult(201, "text/plain", new byte[] {'1'});

    private final ManualClock clock = new ManualClock(0);
    private final AgentIncarnation oldId = new AgentIncarnation(new InstanceId("old"), 1);
    private final AgentIncarnation newId = new AgentIncarnation(new InstanceId("new"), 1);
    private final HomeTable onlyOld = new HomeTable("bookings", 1, List.of(oldId));
    private final HomeTable onlyNew = new HomeTable("bookings", 2, List.of(newId));
    private final AtMostOnceGuard oldHome = guard(oldId, LedgerLimits.DEFAULT);
    private final AtMostOnceGuard newHome = guard(newId, LedgerLimits.DEFAULT);

    private AtMostOnceGuard guard(AgentIncarnation id, LedgerLimits limits) {
        return new AtMostOnceGuard(id, "bookings", TIMES, limits, clock, event -> {});
    }

    private static OperationId key(String key) {
        return new OperationId(new WorkspaceId("herd"), "bookings", key);
    }

    private void confirmOldHome() {
        oldHome.learn(onlyOld);
        oldHome.confirm(1, clock.monotonicMillis());
    }

    private void confirmNewHome() {
        newHome.learn(onlyOld);
        newHome.learn(onlyNew);
        newHome.confirm(2, clock.monotonicMillis());
    }

    private static GuardDecision send(AtMostOnceGuard home, OperationId id, String body) {
        GuardDecision decision = home.requestTicket(id, body);
        return decision instanceof GuardDecision.TicketGranted granted ? home.start(granted.ticket(), body) : decision;
    }

    private static OperationAnswer answer(GuardDecision decision) {
        return assertInstanceOf(GuardDecision.Answered.class, decision).answer();
    }

    @Nested
    final class Retries {
        @Test
        void testRetryReceivesResultOfFirstRun() {
            confirmOldHome();
            assertInstanceOf(GuardDecision.RunNow.class, send(oldHome, key("k"), "body"));
            assertInstanceOf(GuardDecision.AwaitRun.class, send(oldHome, key("k"), "body"));
            oldHome.finish(key("k"), BOOKED);
            assertEquals(BOOKED, answer(send(oldHome, key("k"), "body")).result());
        }

        @Test
        void testSameKeyWithDifferentBodyIsRefused() {
            confirmOldHome();
            send(oldHome, key("k"), "body");
            assertEquals(
                    ErrorCode.IDEMPOTENCY_KEY_REUSED,
                    answer(send(oldHome, key("k"), "other")).code());
        }

        @Test
        void testRetryAfterRetentionIsRefusedAsUnknown() {
            confirmOldHome();
            send(oldHome, key("k"), "body");
            oldHome.finish(key("k"), BOOKED);
            clock.advanceMillis(TIMES.retentionMillis() + 1);
            oldHome.confirm(1, clock.monotonicMillis());
            OperationAnswer late = answer(send(oldHome, key("k"), "body"));
            assertEquals(OperationAnswer.unknown(ErrorCode.IDEMPOTENCY_KEY_EXPIRED), late);
        }

        @Test
        void testFullLedgerRefusesNewKeysAndKeepsRecords() {
            AtMostOnceGuard small = guard(oldId, new LedgerLimits(1, 1, 100, 100, 1));
            small.learn(onlyOld);
            small.confirm(1, 0);
            send(small, key("first"), "body");
            assertEquals(OperationAnswer.notRun(ErrorCode.OVERLOADED), answer(send(small, key("second"), "body")));
            assertEquals(OperationAnswer.unknown(ErrorCode.OVERLOADED), answer(send(small, key("third"), "body")));
            assertInstanceOf(GuardDecision.AwaitRun.class, send(small, key("first"), "body"));
        }
    }

    @Nested
    final class Revocation {
        @Test
        void testRevokedOperationDoesNotStartWithValidTicket() {
            confirmOldHome();
            var granted = assertInstanceOf(GuardDecision.TicketGranted.class, oldHome.requestTicket(key("k"), "body"));
            assertEquals(
                    Outcome.NOT_RUN, answer(oldHome.revoke(key("k"), "body")).outcome());
            assertEquals(
                    Outcome.NOT_RUN,
                    answer(oldHome.start(granted.ticket(), "body")).outcome());
        }

        @Test
        void testRevocationOfRunningOperationAnswersUnknown() {
            confirmOldHome();
            send(oldHome, key("k"), "body");
            assertEquals(
                    Outcome.UNKNOWN, answer(oldHome.revoke(key("k"), "body")).outcome());
        }

        @Test
        void testRevocationWithDifferentBodyDoesNotRevealFirstResult() {
            confirmOldHome();
            send(oldHome, key("k"), "body");
            oldHome.finish(key("k"), BOOKED);
            assertEquals(
                    OperationAnswer.notRun(ErrorCode.IDEMPOTENCY_KEY_REUSED),
                    answer(oldHome.revoke(key("k"), "other")));
        }

        @Test
        void testUnsentRequestAnswersNotRun() {
            confirmOldHome();
            send(oldHome, key("k"), "body");
            oldHome.finishUnsent(key("k"));
            assertEquals(
                    Outcome.NOT_RUN, answer(send(oldHome, key("k"), "body")).outcome());
        }
    }

    @Nested
    final class HomeChange {
        @Test
        void testNewHomeStartsKeysWithoutHandoverOnlyAfterQuarantine() {
            confirmOldHome();
            send(oldHome, key("k"), "body");
            confirmNewHome();
            assertEquals(
                    ErrorCode.HOME_UNSETTLED,
                    answer(send(newHome, key("k"), "body")).code());
            clock.advanceMillis(TIMES.quarantineMillis());
            newHome.confirm(2, clock.monotonicMillis());
            assertInstanceOf(GuardDecision.RunNow.class, send(newHome, key("later"), "body"));
        }

        @Test
        void testHomeResumingAfterLeaseExpiryStartsNothing() {
            confirmOldHome();
            var granted = assertInstanceOf(GuardDecision.TicketGranted.class, oldHome.requestTicket(key("k"), "body"));
            clock.advanceMillis(LEASE_MILLIS);
            assertEquals(
                    Outcome.UNKNOWN,
                    answer(oldHome.start(granted.ticket(), "body")).outcome());
            assertEquals(
                    Outcome.UNKNOWN, answer(oldHome.revoke(key("k"), "body")).outcome());
        }

        @Test
        void testHandoverSettlesKeysAndStopsPreviousHome() {
            confirmOldHome();
            send(oldHome, key("done"), "body");
            oldHome.finish(key("done"), BOOKED);
            send(oldHome, key("running"), "body");
            confirmNewHome();
            newHome.receive(Objects.requireNonNull(oldHome.handOver(onlyNew, newId)));
            assertEquals(BOOKED, answer(send(newHome, key("done"), "body")).result());
            assertEquals(
                    Outcome.UNKNOWN,
                    answer(send(newHome, key("running"), "body")).outcome());
            assertInstanceOf(GuardDecision.RunNow.class, send(newHome, key("fresh"), "body"));
            assertInstanceOf(GuardDecision.WrongHome.class, send(oldHome, key("fresh"), "body"));
        }

        /**
         * Two homes request handovers from each other; the second handover must not quarantine keys that the first
         * settled.
         */
        @Test
        void testHandoversInBothDirectionsLeaveNoQuarantine() {
            HomeTable both = new HomeTable("bookings", 1, List.of(newId, oldId));
            oldHome.learn(both);
            newHome.learn(both);
            oldHome.learn(onlyNew);
            newHome.learn(onlyNew);
            newHome.confirm(2, clock.monotonicMillis());
            Handover first = Objects.requireNonNull(oldHome.handOver(onlyNew, newId));
            oldHome.receive(Objects.requireNonNull(newHome.handOver(onlyNew, oldId)));
            newHome.receive(first);
            newHome.receive(Objects.requireNonNull(oldHome.handOver(onlyNew, newId)));

            for (int number = 0; number < 20; number++) {
                assertInstanceOf(GuardDecision.RunNow.class, send(newHome, key("fresh-" + number), "body"));
            }
        }

        @Test
        void testNoHandoverForOlderTable() {
            oldHome.learn(onlyOld);
            oldHome.learn(onlyNew);
            assertNull(oldHome.handOver(onlyOld, newId));
        }
    }

    @Nested
    final class BoundKeys {
        @Test
        void testBoundKeyRunsWithoutHomeTableOrLease() {
            OperationId id = key(oldHome.issueKey().text());
            assertInstanceOf(GuardDecision.RunNow.class, send(oldHome, id, "body"));
        }

        @Test
        void testBoundKeyDoesNotRunAtAnotherIncarnation() {
            OperationId id = key(oldHome.issueKey().text());
            AtMostOnceGuard restarted = guard(new AgentIncarnation(new InstanceId("old"), 2), LedgerLimits.DEFAULT);
            assertEquals(Outcome.UNKNOWN, answer(send(restarted, id, "body")).outcome());
        }

        @Test
        void testBoundKeyIsRefusedAfterWindow() {
            OperationId id = key(oldHome.issueKey().text());
            clock.advanceMillis(TIMES.windowMillis() + 1);
            assertEquals(OperationAnswer.notRun(ErrorCode.IDEMPOTENCY_KEY_EXPIRED), answer(send(oldHome, id, "body")));
            clock.advanceMillis(TIMES.retentionMillis());
            assertEquals(Outcome.UNKNOWN, answer(send(oldHome, id, "body")).outcome());
        }
    }
}

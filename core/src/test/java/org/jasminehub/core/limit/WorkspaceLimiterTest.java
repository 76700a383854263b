package org.jasminehub.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jasminehub.core.document.WorkspaceRule;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class WorkspaceLimiterTest {
    private static final WorkspaceRule RULE = new WorkspaceRule("agency", 1, 30, 3000, 10);
    private static final LimitSettings SETTINGS = new LimitSettings(2000, 1, 10_000);
    private static final int INSTANCES = 3;

    private final ManualClock clock = new ManualClock(0);

    private WorkspaceLimiter limiter(int rank) {
        return new WorkspaceLimiter(clock, SETTINGS, RULE, new ShareView(rank, INSTANCES));
    }

    private static void exchange(WorkspaceLimiter borrower, WorkspaceLimiter lender) {
        for (LoanRequest request : borrower.wantedLoans(1)) {
            borrower.borrowed(request, lender.lend(request));
        }
    }

    /** Sends requests that end immediately, and returns how many were allowed. */
    private static int sendRequests(WorkspaceLimiter limiter, int count) {
        int allowedCount = 0;
        for (int i = 0; i < count; i++) {
            if (limiter.acquire(1) instanceof LimitDecision.Allowed allowed) {
                limiter.release(allowed, 1);
                allowedCount++;
            }
        }
        return allowedCount;
    }

    @Nested
    final class SingleInstance {
        @Test
        void testExceededLimitIsReportedWithRetryTime() {
            WorkspaceLimiter limiter = limiter(0);
            assertEquals(10, sendRequests(limiter, 10));
            assertEquals(new LimitDecision.Exceeded(LimitKind.REQUESTS, 100), limiter.acquire(1));
            clock.advanceMillis(1000);
            limiter.acquire(1000);
            assertEquals(LimitKind.TOKENS, ((LimitDecision.Exceeded) limiter.acquire(500)).kind());
        }

        @Test
        void testConcurrentRequestsStayWithinFixedShare() {
            WorkspaceLimiter limiter = limiter(0);
            for (int i = 0; i < 4; i++) {
                assertInstanceOf(LimitDecision.Allowed.class, limiter.acquire(1));
            }
            assertEquals(LimitKind.CONCURRENCY, ((LimitDecision.Exceeded) limiter.acquire(1)).kind());
        }

        @Test
        void testUnusedTokensAreRefunded() {
            WorkspaceLimiter limiter = limiter(0);
            LimitDecision.Allowed allowed = (LimitDecision.Allowed) limiter.acquire(1000);
            limiter.release(allowed, 100);
            assertInstanceOf(LimitDecision.Allowed.class, limiter.acquire(900));
        }

        @Test
        void testRequestLargerThanBurstDelaysLaterRequests() {
            WorkspaceLimiter limiter = limiter(0);
            assertInstanceOf(LimitDecision.Allowed.class, limiter.acquire(5000));
            assertEquals(new LimitDecision.Exceeded(LimitKind.TOKENS, 4001), limiter.acquire(1));
        }
    }

    @Nested
    final class SharedLimits {
        private final WorkspaceLimiter busy = limiter(0);
        private final WorkspaceLimiter idle = limiter(1);

        @Test
        void testShareIsLentToBusyInstance() {
            sendRequests(busy, 20);
            exchange(busy, idle);
            assertEquals(20, busy.currentShare(LimitKind.REQUESTS), 0.01);
            assertEquals(0, idle.currentShare(LimitKind.REQUESTS), 0.01);
        }

        @Test
        void testLoanEndsWithoutContactBetweenInstances() {
            sendRequests(busy, 20);
            exchange(busy, idle);
            clock.advanceMillis(2000);
            assertEquals(10, busy.currentShare(LimitKind.REQUESTS), 0.01);
            assertEquals(10, idle.currentShare(LimitKind.REQUESTS), 0.01);
        }

        @Test
        void testReplyReceivedAfterLoanEndedIsIgnored() {
            sendRequests(busy, 20);
            LoanRequest request = busy.wantedLoans(1).get(0);
            LoanReply reply = idle.lend(request);
            clock.advanceMillis(2000);
            busy.borrowed(request, reply);
            assertEquals(10, busy.currentShare(LimitKind.REQUESTS), 0.01);
        }
    }

    @Nested
    final class RandomSchedules {
        private static final int SCHEDULE_COUNT = 50;
        private static final int STEPS = 400;

        private record DelayedReply(int borrower, LoanRequest request, LoanReply reply, long arrivesMillis) {}

        /** Runs a random schedule of shifting demand and lost or late replies; the shares must never exceed a limit. */
        private int run(long seed) {
            Random random = new Random(seed);
            List<WorkspaceLimiter> limiters = new ArrayList<>();
            for (int rank = 0; rank < INSTANCES; rank++) {
                limiters.add(limiter(rank));
            }
            List<DelayedReply> delayed = new ArrayList<>();
            int allowedCount = 0;
            for (int step = 0; step < STEPS; step++) {
                clock.advanceMillis(50);
                allowedCount += sendRequests(limiters.get(random.nextInt(INSTANCES)), random.nextInt(12));
                int borrower = random.nextInt(INSTANCES);
                WorkspaceLimiter lender = limiters.get((borrower + 1 + random.nextInt(INSTANCES - 1)) % INSTANCES);
                for (LoanRequest request : limiters.get(borrower).wantedLoans(1)) {
                    long arrivesMillis = clock.monotonicMillis() + random.nextInt(3000);
                    delayed.add(new DelayedReply(borrower, request, lender.lend(request), arrivesMillis));
                }
                delayed.removeIf(message -> random.nextInt(20) == 0);
                deliver(limiters, delayed);
                assertWithinLimits(limiters);
            }
            return allowedCount;
        }

        private void deliver(List<WorkspaceLimiter> limiters, List<DelayedReply> delayed) {
            for (DelayedReply message : List.copyOf(delayed)) {
                if (message.arrivesMillis() <= clock.monotonicMillis()) {
                    delayed.remove(message);
                    limiters.get(message.borrower()).borrowed(message.request(), message.reply());
                }
            }
        }

        private void assertWithinLimits(List<WorkspaceLimiter> limiters) {
            assertTrue(sum(limiters, LimitKind.REQUESTS) <= RULE.requestsPerSecond() + 0.001);
            assertTrue(sum(limiters, LimitKind.TOKENS) <= RULE.tokensPerSecond() + 0.001);
            assertTrue(sum(limiters, LimitKind.CONCURRENCY) <= RULE.concurrentRequests());
        }

        private double sum(List<WorkspaceLimiter> limiters, LimitKind kind) {
            return limiters.stream()
                    .mapToDouble(limiter -> limiter.currentShare(kind))
                    .sum();
        }

        @Test
        void testSharesNeverExceedLimitUnderOneView() {
            double seconds = STEPS * 50 / 1000.0;
            for (long seed = 1; seed <= SCHEDULE_COUNT; seed++) {
                int allowedCount = run(seed);
                double maxAllowed = RULE.requestsPerSecond() * (seconds + 1) + INSTANCES;
                assertTrue(allowedCount <= maxAllowed, "seed " + seed + " allowed " + allowedCount);
            }
        }
    }
}

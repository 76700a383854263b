package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jasminehub.core.serving.CallKind;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.WeightedService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When a call may be sent once more. */
final class RepeatPolicyTest {
    private static Route route(CallKind kind, boolean isResumable) {
        return new Route(
                "r", "h", "/", kind, 1_000, 100, 0, 1, List.of(new WeightedService("s", 1)), 2, false, isResumable);
    }

    /** By kind. */
    @Nested
    final class Kinds {
        @Test
        void testACallWithEffectsIsRepeatedOnlyAfterProofThatItDidNotRun() {
            Route unsafe = route(CallKind.UNSAFE, false);

            assertTrue(RepeatPolicy.mayRepeat(unsafe, AttemptEnd.NOT_RUN, 0, 1, 500));
            assertFalse(RepeatPolicy.mayRepeat(unsafe, AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
            assertFalse(RepeatPolicy.mayRepeat(unsafe, AttemptEnd.FAILED, 1, 1, 500));
        }

        @Test
        void testAStreamIsRepeatedOnlyWhereItMayBeResumed() {
            assertTrue(RepeatPolicy.mayRepeat(route(CallKind.STREAMING, true), AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
            assertFalse(RepeatPolicy.mayRepeat(route(CallKind.STREAMING, false), AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
        }

        @Test
        void testAttemptsAndTimeBoundRepeats() {
            Route safe = route(CallKind.SAFE, false);

            assertFalse(RepeatPolicy.mayRepeat(safe, AttemptEnd.FAILED, 2, 2, 500));
            assertFalse(RepeatPolicy.mayRepeat(safe, AttemptEnd.FAILED, 1, 1, 10));
        }
    }
}

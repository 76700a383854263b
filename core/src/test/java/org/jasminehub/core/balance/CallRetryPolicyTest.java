package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jasminehub.core.serving.CallKind;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.WeightedService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CallRetryPolicyTest {
    private static Route route(CallKind kind, boolean isResumable) {
        return new Route(
                "r", "h", "/", kind, 1_000, 100, 0, 1, List.of(new WeightedService("s", 1)), 2, false, isResumable);
    }

    @Nested
    final class Kinds {
        @Test
        void testUnsafeCallIsRetriedOnlyIfItDidNotRun() {
            Route unsafe = route(CallKind.UNSAFE, false);

            assertTrue(CallRetryPolicy.mayRetry(unsafe, AttemptEnd.NOT_RUN, 0, 1, 500));
            assertFalse(CallRetryPolicy.mayRetry(unsafe, AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
            assertFalse(CallRetryPolicy.mayRetry(unsafe, AttemptEnd.FAILED, 1, 1, 500));
        }

        @Test
        void testStreamIsRetriedOnlyIfResumable() {
            assertTrue(CallRetryPolicy.mayRetry(route(CallKind.STREAMING, true), AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
            assertFalse(CallRetryPolicy.mayRetry(route(CallKind.STREAMING, false), AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
        }

        @Test
        void testAttemptsAndRemainingTimeLimitRetries() {
            Route safe = route(CallKind.SAFE, false);

            assertFalse(CallRetryPolicy.mayRetry(safe, AttemptEnd.FAILED, 2, 2, 500));
            assertFalse(CallRetryPolicy.mayRetry(safe, AttemptEnd.FAILED, 1, 1, 10));
        }
    }

    @Nested
    final class Endpoints {
        @Test
        void testAnyEndpointMayBeUsedBelowTheLimitOfTheRoute() {
            Route route = route(CallKind.STREAMING, true);

            assertTrue(CallRetryPolicy.mayUse(route, 0, false, false));
            assertTrue(CallRetryPolicy.mayUse(route, 1, false, false));
            assertTrue(CallRetryPolicy.mayUse(route, 1, true, true), "the only endpoint of a service");
        }

        @Test
        void testOnlyUsedEndpointsThatDidNotFailMayBeUsedAtTheLimitOfTheRoute() {
            Route route = route(CallKind.STREAMING, true);

            assertTrue(CallRetryPolicy.mayUse(route, 2, true, false));
            assertFalse(CallRetryPolicy.mayUse(route, 2, true, true));
            assertFalse(CallRetryPolicy.mayUse(route, 2, false, false));
        }
    }
}

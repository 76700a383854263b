package org.jasminehub.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.serving.Route;
import org.junit.jupiter.api.Test;

final class CallTurnTest {
    private static final Route ROUTE = ReplayCall.ROUTES.get(0);

    private static CallTurn after(long millis) {
        return CallTurn.of(ROUTE, ROUTE.timeoutMillis() - millis);
    }

    @Test
    void testFirstAttemptAllowsTheFullTime() {
        assertEquals(CallTurn.IN_TIME, after(0));
        assertEquals(CallTurn.IN_TIME, after(5));
    }

    /** Guards against callers that gain slots by repeating before the time that they are told. */
    @Test
    void testCallerThatIsBackBeforeAnyCallerIsToldRepeatsAtOnce() {
        assertEquals(CallTurn.REPEATED_AT_ONCE, after(10));
        assertEquals(CallTurn.REPEATED_AT_ONCE, after(CallQueuePolicy.EARLIEST_RETRY_MILLIS - 1));
    }

    @Test
    void testCallerThatIsBackWhenToldIsLate() {
        assertEquals(CallTurn.LATE, after(CallQueuePolicy.EARLIEST_RETRY_MILLIS));
        assertEquals(CallTurn.LATE, after(3_000));
    }
}

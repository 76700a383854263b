package org.jasminehub.core.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalDouble;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointRateLimitsTest {
    private final ManualClock clock = new ManualClock(10_000);
    private final EndpointRateLimits limits = new EndpointRateLimits(clock);
    private final EndpointIncarnation endpoint = new EndpointIncarnation(new EndpointId("e-1"), 100);

    private void assertLimit(double requestsPerSecond) {
        assertEquals(OptionalDouble.of(requestsPerSecond), limits.requestsPerSecond(endpoint));
    }

    private void assertNoLimit() {
        assertEquals(OptionalDouble.empty(), limits.requestsPerSecond(endpoint));
    }

    /** The values that an endpoint may state. */
    @Nested
    final class Values {
        @Test
        void testDecimalNumbersAreAccepted() {
            for (String text : List.of("0", "1.4", " 12 ", ".5", "7.")) {
                assertTrue(StatedRateLimit.parse(text).isPresent(), text);
            }
            assertEquals(1.4, StatedRateLimit.parse("1.4").orElseThrow().requestsPerSecond());
        }

        @Test
        void testOtherTextsAreRejected() {
            for (String text : List.of("", "-1", "+1", "1e3", "NaN", "Infinity", "0x1", "1,4", "one", "1".repeat(33))) {
                assertTrue(StatedRateLimit.parse(text).isEmpty(), text);
            }
        }

        @Test
        void testHugeLimitsAreBounded() {
            assertEquals(
                    StatedRateLimit.MAX_REQUESTS_PER_SECOND,
                    StatedRateLimit.parse("9".repeat(30)).orElseThrow().requestsPerSecond());
        }
    }

    /** The end of a limit. */
    @Nested
    final class End {
        @Test
        void testAResponseWithoutALimitEndsIt() {
            assertTrue(limits.onStated(endpoint, 2, 0));
            clock.advanceMillis(50);

            assertTrue(limits.onNoneStated(endpoint, 20));

            assertNoLimit();
            assertFalse(limits.isActive());
        }

        @Test
        void testAResponseToAnEarlierRequestDoesNotEndIt() {
            limits.onStated(endpoint, 2, 0);
            clock.advanceMillis(50);

            assertFalse(limits.onNoneStated(endpoint, 60));

            assertLimit(2);
        }

        @Test
        void testAnEarlierStatementOfAPeerDoesNotBringItBack() {
            limits.onStated(endpoint, 2, 0);
            clock.advanceMillis(100);
            limits.onNoneStated(endpoint, 10);

            assertFalse(limits.onStated(endpoint, 2, 50));

            assertNoLimit();
        }

        @Test
        void testALaterStatementBringsItBack() {
            limits.onStated(endpoint, 2, 0);
            clock.advanceMillis(100);
            limits.onNoneStated(endpoint, 10);

            assertTrue(limits.onStated(endpoint, 3, 0));

            assertLimit(3);
        }
    }

    /** Statements of an endpoint to several instances. */
    @Nested
    final class Statements {
        @Test
        void testOnlyAChangedLimitIsNews() {
            assertTrue(limits.onStated(endpoint, 2, 0));
            assertFalse(limits.onStated(endpoint, 2, 0));
            assertTrue(limits.onStated(endpoint, 1, 0));
        }

        @Test
        void testAnOlderStatementDoesNotReplaceANewerOne() {
            limits.onStated(endpoint, 2, 0);

            assertFalse(limits.onStated(endpoint, 8, 30));

            assertLimit(2);
        }

        @Test
        void testALaterRunOfTheEndpointHasNoLimit() {
            limits.onStated(endpoint, 2, 0);

            assertEquals(
                    OptionalDouble.empty(),
                    limits.requestsPerSecond(new EndpointIncarnation(new EndpointId("e-1"), 101)));
        }

        @Test
        void testAnEndpointThatIsGoneIsForgotten() {
            limits.onStated(endpoint, 2, 0);
            clock.advanceMillis(EndpointRateLimits.KEPT_AFTER_REMOVAL_MILLIS + 1);

            limits.onRegistrations(List.of());

            assertNoLimit();
        }
    }
}

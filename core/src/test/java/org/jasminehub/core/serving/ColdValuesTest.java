package org.jasminehub.core.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that cold times and rates of any kind result in a typed value on the safe side. */
final class ColdValuesTest {
    /** The configured time and rate. */
    @Nested
    final class Configured {
        @Test
        void testValuesInRangeAreUsed() {
            assertEquals(new ColdStart(3_000, 23, ""), ColdStart.of(3.0, 23.0));
        }

        @Test
        void testServiceHasNoColdStartIfBothAreMissingOrOneIsZero() {
            assertNull(ColdStart.of(null, null));
            assertNull(ColdStart.of(0.0, 23.0));
            assertNull(ColdStart.of(3.0, 0.0));
            assertNull(ColdStart.of(0.0, null));
        }

        @ParameterizedTest
        @ValueSource(doubles = {-1, Double.NaN, Double.NEGATIVE_INFINITY})
        void testUnusableValuesAreReplacedBySafeOnes(double value) {
            ColdStart both = ColdStart.of(value, value);

            assertNotNull(both);
            assertEquals(ColdStart.FALLBACK_COLD_MILLIS, both.coldMillis());
            assertEquals(ColdStart.FALLBACK_REQUESTS_PER_SECOND, both.requestsPerSecond());
            assertTrue(both.defect().contains("cold time") && both.defect().contains("cold rate"), both.defect());
        }

        @Test
        void testOneMissingValueIsReplacedByASafeOne() {
            ColdStart noRate = ColdStart.of(3.0, null);

            assertNotNull(noRate);
            assertEquals(3_000, noRate.coldMillis());
            assertEquals(ColdStart.FALLBACK_REQUESTS_PER_SECOND, noRate.requestsPerSecond());
            assertEquals("cold rate in requests per second is missing, used as 1.0", noRate.defect());
        }

        @Test
        void testHugeValuesAreLowered() {
            ColdStart huge = ColdStart.of(Double.POSITIVE_INFINITY, Double.MAX_VALUE);

            assertNotNull(huge);
            assertEquals(ColdStart.MAX_COLD_MILLIS, huge.coldMillis());
            assertEquals(ColdStart.MAX_REQUESTS_PER_SECOND, huge.requestsPerSecond());
            assertTrue(!huge.defect().isEmpty());
        }
    }

    /** The rest of the cold time that an endpoint states. */
    @Nested
    final class Stated {
        @Test
        void testDecimalNumbersAreDecoded() {
            assertEquals(new ColdTime(ColdTime.Kind.STATED, 2_500, ""), ColdTime.parse(" 2499.5 "));
            assertEquals(new ColdTime(ColdTime.Kind.STATED, 0, ""), ColdTime.parse("0"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"-1", "", "soon", "1e3", "NaN", "0x10", "1,5"})
        void testOtherTextsAreMalformed(String text) {
            ColdTime time = ColdTime.parse(text);

            assertEquals(ColdTime.Kind.MALFORMED, time.kind());
            assertTrue(!time.defect().isEmpty());
        }

        @Test
        void testALongTextIsMalformedAndAbbreviated() {
            assertTrue(ColdTime.parse("9".repeat(10_000)).defect().length() < 50);
        }

        @Test
        void testHugeTimesAreLowered() {
            assertEquals(ColdTime.MAX_MILLIS, ColdTime.parse("9".repeat(60)).remainingMillis());
            assertEquals(
                    ColdTime.MAX_MILLIS,
                    ColdTime.ofMillis(Double.POSITIVE_INFINITY).remainingMillis());
            assertEquals(ColdTime.Kind.MALFORMED, ColdTime.ofMillis(Double.NaN).kind());
            assertEquals(ColdTime.Kind.MALFORMED, ColdTime.ofMillis(-1).kind());
        }
    }
}

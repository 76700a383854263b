package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class QuietRequestTest {
    @ParameterizedTest
    @CsvSource({"0,0", "1,1000", "0.25,250", "2.,2000", ".5,500", "1.0001,1001", "300,300000", "007,7000"})
    void testSecondsAreRoundedUpToMilliseconds(String seconds, long periodMillis) {
        assertEquals(new QuietRequest(periodMillis, false), QuietRequest.parse(seconds));
    }

    @ParameterizedTest
    @ValueSource(strings = {"300.001", "86400", "99999999999999999999999999"})
    void testLongPeriodsAreBounded(String seconds) {
        assertEquals(new QuietRequest(QuietRequest.MAX_PERIOD_MILLIS, true), QuietRequest.parse(seconds));
    }

    @Test
    void testADecimalBeyondTheRangeOfADoubleIsBounded() {
        assertEquals(new QuietRequest(QuietRequest.MAX_PERIOD_MILLIS, true), QuietRequest.parse("9".repeat(2_000)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                ".",
                "-1",
                "+1",
                "soon",
                "1s",
                "1,5",
                "1 2",
                "1e3",
                "0x10",
                "NaN",
                "Infinity",
                "\u0661",
                "Fri, 04 Dec 2026 15:00:00 GMT"
            })
    void testOtherValuesCountAsAShortPeriod(String value) {
        assertEquals(new QuietRequest(QuietRequest.FALLBACK_PERIOD_MILLIS, true), QuietRequest.parse(value));
    }
}

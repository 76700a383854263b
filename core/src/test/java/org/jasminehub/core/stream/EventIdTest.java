package org.jasminehub.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigInteger;
import java.util.List;
import java.util.Optional;
import org.jasminehub.core.error.InvalidArgumentException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EventIdTest {
    private static final List<String> VALUES = List.of(
            "-9223372036854775809",
            "-1",
            "0",
            "1",
            "9007199254740992",
            "9223372036854775807",
            "18446744073709551615",
            "340282366920938463463374607431768211455",
            "9".repeat(EventId.MAX_DIGITS - 1));

    /** Guards against a comparison that overflows or rounds. */
    @Nested
    final class Order {
        @Test
        void testOnlyTheNextWholeNumberFollows() {
            for (String value : VALUES) {
                EventId id = new EventId(value);
                for (int step = -2; step <= 2; step++) {
                    EventId other = new EventId(
                            new BigInteger(value).add(BigInteger.valueOf(step)).toString());
                    assertEquals(step == 1, id.isFollowedBy(other), value + " and " + other);
                }
            }
        }

        @Test
        void testTheLargestNumberOf64BitsIsNotFollowedByTheSmallest() {
            assertFalse(new EventId("9223372036854775807").isFollowedBy(new EventId("-9223372036854775808")));
            assertFalse(new EventId("18446744073709551615").isFollowedBy(new EventId("0")));
        }

        @Test
        void testLeadingZerosDoNotMatter() {
            assertTrue(new EventId("009").isFollowedBy(new EventId("10")));
            assertTrue(new EventId("9").isFollowedBy(new EventId("010")));
        }
    }

    @Nested
    final class Format {
        @Test
        void testTheTextIsKept() {
            assertEquals("007", EventId.parse("007").orElseThrow().text());
        }

        @Test
        void testOtherTextsAreNoIds() {
            for (String text : List.of("", "-", "+1", "1.0", "1e3", " 1", "NaN", "0x1", "12d", "\u0661", "1\n")) {
                assertEquals(Optional.empty(), EventId.parse(text), text);
            }
            assertThrows(InvalidArgumentException.class, () -> new EventId("1.0"));
        }

        @Test
        void testTheNumberOfDigitsIsBounded() {
            assertTrue(EventId.parse("9".repeat(EventId.MAX_DIGITS)).isPresent());
            assertEquals(Optional.empty(), EventId.parse("9".repeat(EventId.MAX_DIGITS + 1)));
        }
    }
}

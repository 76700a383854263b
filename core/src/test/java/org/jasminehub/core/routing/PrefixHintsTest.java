package org.jasminehub.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class PrefixHintsTest {
    private static final EndpointId ENDPOINT = new EndpointId("text-1");
    private static final double HALF_LIFE_MILLIS = 30_000;

    private final ManualClock clock = new ManualClock(0);
    private final PrefixHints hints = new PrefixHints(clock, HALF_LIFE_MILLIS, 8);
    private final PromptPrefix prefix = PromptPrefix.ofText("a".repeat(2 * PromptPrefix.BLOCK_CHARS));

    private long lastHash() {
        return prefix.blocks().get(1).hash();
    }

    private long expected() {
        return hints.expectedTokens(ENDPOINT, prefix);
    }

    @Test
    void testLongestCachedPrefixCounts() {
        hints.recordPrompt(ENDPOINT, PromptPrefix.ofText("a".repeat(PromptPrefix.BLOCK_CHARS) + "b".repeat(2000)));
        assertEquals(256, expected());
    }

    @Test
    void testHintDecaysByHalfAfterHalfLife() {
        hints.recordPrompt(ENDPOINT, prefix);
        clock.advanceMillis((long) HALF_LIFE_MILLIS);
        assertEquals(256, expected());
    }

    @Test
    void testEvictionOlderThanHintIsIgnored() {
        clock.advanceMillis(5000);
        hints.recordPrompt(ENDPOINT, prefix);
        hints.recordEvent(new PrefixEvent(ENDPOINT, 1, lastHash(), false, 4000));
        assertEquals(512, expected());
        clock.advanceMillis(1);
        hints.recordEvent(new PrefixEvent(ENDPOINT, 2, lastHash(), false, 0));
        assertTrue(expected() < 257);
    }

    @Test
    void testEventGapHalvesTrustAndReportedHitsRestoreIt() {
        hints.recordPrompt(ENDPOINT, prefix);
        hints.recordEvent(new PrefixEvent(ENDPOINT, 1, 99, true, 0));
        hints.recordEvent(new PrefixEvent(ENDPOINT, 5, 98, true, 0));
        assertEquals(256, expected());
        for (int i = 0; i < 40; i++) {
            hints.recordHit(ENDPOINT, prefix, 512, 512);
        }
        assertTrue(expected() > 500);
    }

    @Test
    void testReportedMissesReduceWeightOfHints() {
        hints.recordPrompt(ENDPOINT, prefix);
        for (int i = 0; i < 20; i++) {
            hints.recordHit(ENDPOINT, prefix, 512, 0);
        }
        assertTrue(expected() < 50);
    }

    @Test
    void testNumberOfHintsIsBounded() {
        hints.recordPrompt(ENDPOINT, prefix);
        for (int hash = 0; hash < 8; hash++) {
            hints.recordEvent(new PrefixEvent(ENDPOINT, hash, hash, true, 0));
        }
        assertEquals(0, expected());
    }
}

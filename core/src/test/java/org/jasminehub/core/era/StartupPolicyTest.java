package org.jasminehub.core.era;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class StartupPolicyTest {
    private static final StoreEra ERA = new StoreEra(5);

    private static boolean isComplete(@Nullable StoreEra era, Optional<List<Long>> eras, long millis) {
        return StartupPolicy.isStoreComplete(era, eras, millis);
    }

    @Test
    void testLostRecordsCountAsWrittenAgainSomeTimeAfterAStartWithinARestore() {
        Optional<List<Long>> earlier = Optional.of(List.of(4L));

        assertFalse(isComplete(ERA, earlier, EraTracker.REWRITE_MILLIS - 1));
        assertTrue(isComplete(ERA, earlier, EraTracker.REWRITE_MILLIS));
    }

    @Test
    void testNobodyWaitsAfterAllProcessesFailed() {
        assertTrue(isComplete(ERA, Optional.of(List.of(5L, 4L)), 0));
    }

    @Test
    void testFirstStartDoesNotWait() {
        assertTrue(isComplete(ERA, Optional.of(List.of()), 0));
    }

    @Test
    void testStoreWithoutErasDoesNotDelayTheStart() {
        assertTrue(isComplete(null, Optional.empty(), 0));
    }

    @Test
    void testUnreadRegistrationsProveNothing() {
        assertFalse(isComplete(ERA, Optional.empty(), 0));
    }
}

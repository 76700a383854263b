package org.jasminehub.core.era;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class StartupPolicyTest {
    private static final StoreEra ERA = new StoreEra(5);

    private static boolean mayRely(@Nullable StoreEra era, Optional<List<Long>> eras, boolean isInformed, long millis) {
        return StartupPolicy.mayRelyOnStore(era, eras, isInformed, millis);
    }

    @Test
    void testProcessThatStartsWithinARestoreWaitsForAPeer() {
        Optional<List<Long>> earlier = Optional.of(List.of(4L, 4L));

        assertFalse(mayRely(ERA, earlier, false, 0));
        assertTrue(mayRely(ERA, earlier, true, 0));
    }

    @Test
    void testWithoutPeersTheLostRecordsCountAsWrittenAgainLater() {
        Optional<List<Long>> earlier = Optional.of(List.of(4L));

        assertFalse(mayRely(ERA, earlier, false, EraTracker.REWRITE_MILLIS - 1));
        assertTrue(mayRely(ERA, earlier, false, EraTracker.REWRITE_MILLIS));
    }

    @Test
    void testNobodyWaitsAfterAllProcessesFailed() {
        assertTrue(mayRely(ERA, Optional.of(List.of(5L, 4L)), false, 0));
    }

    @Test
    void testFirstStartDoesNotWait() {
        assertTrue(mayRely(ERA, Optional.of(List.of()), false, 0));
    }

    @Test
    void testStoreWithoutErasDoesNotDelayTheStart() {
        assertTrue(mayRely(null, Optional.empty(), false, 0));
    }

    @Test
    void testUnreadRegistrationsProveNothing() {
        assertFalse(mayRely(ERA, Optional.empty(), false, 0));
    }
}

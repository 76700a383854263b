package org.jasminehub.entry.control;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.jasminehub.core.error.InvalidArgumentException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class ControlThreadTest {
    /** Guards against drains and readings of the platform's state that end for good after one failure. */
    @Test
    void testAPeriodicTaskRunsAgainAfterAFailure() throws InterruptedException {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch secondRun = new CountDownLatch(1);
        try (ControlThread control = new ControlThread()) {
            control.runPeriodically(
                    () -> {
                        if (runs.incrementAndGet() == 1) {
                            throw new InvalidArgumentException("run", 1, "another one");
                        }
                        secondRun.countDown();
                    },
                    1);
            secondRun.await();
        }
    }
}

package org.jasminehub.agent.lease;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.lease.OrderGate;
import org.jasminehub.core.lease.ShardId;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogRecord;
import org.jasminehub.platform.log.LogService;
import org.junit.jupiter.api.Test;

/** Tests what a reader concludes from pages of the log. */
final class FencingNumberReaderTest {
    /** Answers reads with prepared pages. */
    private static final class PreparedLog implements LogService {
        private final Queue<LogPage> pages;

        PreparedLog(LogPage... pages) {
            this.pages = new ArrayDeque<>(List.of(pages));
        }

        @Override
        public CompletionStage<Long> append(byte[] payload) {
            throw new UnsupportedOperationException("a reader appends nothing");
        }

        @Override
        public CompletionStage<LogPage> read(long fromOffset, int maxRecords, int waitMillis) {
            return CompletableFuture.completedFuture(pages.remove());
        }
    }

    private static LogPage page(long nextOffset, LogRecord... records) {
        return new LogPage(0, nextOffset, List.of(records));
    }

    private static CompletableFuture<Void> read(LogPage... pages) {
        OrderGate gate = new OrderGate(1, event -> {});
        return new FencingNumberReader(new PreparedLog(pages), gate, List.of(new ShardId("s")))
                .read()
                .toCompletableFuture();
    }

    /** Guards against orders of an earlier holder that are accepted because newer leases were not read. */
    @Test
    void testAPageWithoutRecordsBeforeTheEndIsNoEnd() {
        CompletableFuture<Void> read = read(page(2), page(2, new LogRecord(0, new byte[0])), page(2));

        CompletionException failure = assertThrows(CompletionException.class, read::join);

        assertInstanceOf(PlatformException.class, failure.getCause());
    }

    @Test
    void testAnEmptyLogIsReadToItsEnd() {
        assertDoesNotThrow(read(page(0), page(0))::join);
    }
}

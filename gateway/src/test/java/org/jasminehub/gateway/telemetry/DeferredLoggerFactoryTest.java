package org.jasminehub.gateway.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.util.internal.logging.InternalLogger;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests the loggers that Netty gets; it reports the failures of tasks of its event loops as warnings. */
final class DeferredLoggerFactoryTest {
    private static final String NAME = "io.netty.sample";

    /** Guards against failures that Netty reports and that are lost because its loggers are set up late. */
    @Test
    void testErrorsAndWarningsAreLoggedAndLowerLevelsAreNot() {
        Logger target = (Logger) LoggerFactory.getLogger(NAME);
        ListAppender<ILoggingEvent> appender = new ListAppender<>();
        appender.start();
        target.addAppender(appender);
        InternalLogger logger = new DeferredLoggerFactory().newInstance(NAME);
        IllegalStateException cause = new IllegalStateException("cause");

        logger.error("failed", cause);
        logger.error("{} and {}", 1, 2);
        logger.warn("task {} failed", 3, cause);
        logger.info("not logged");
        target.detachAppender(appender);

        assertFalse(logger.isInfoEnabled());
        assertEquals(
                List.of("failed", "1 and 2", "task 3 failed"),
                appender.list.stream().map(ILoggingEvent::getFormattedMessage).toList());
        assertEquals("cause", appender.list.get(0).getThrowableProxy().getMessage());
        assertEquals("cause", appender.list.get(2).getThrowableProxy().getMessage());
    }
}

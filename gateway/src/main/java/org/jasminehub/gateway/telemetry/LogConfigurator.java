package org.jasminehub.gateway.telemetry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Configures Logback without an XML file, because loading an XML parser would delay every start of a gateway.
 *
 * <p>Found through an entry in {@code META-INF/services} that only the bundled jar contains. The level is set by the environment variable {@code
 * JASMINEHUB_LOG_LEVEL}.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    private static final String LEVEL_VARIABLE = "JASMINEHUB_LOG_LEVEL";

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(loggers);
        encoder.setPattern("%msg%n");
        encoder.start();
        // Only the dedicated log writer thread uses this appender, so it may block.
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(loggers);
        appender.setName("stdout");
        appender.setEncoder(encoder);
        appender.start();
        ch.qos.logback.classic.Logger root = loggers.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
        root.addAppender(appender);
        loggers.getLogger("io.netty").setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}

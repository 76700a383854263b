package org.jasminehub.gateway.telemetry;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Creates loggers for Netty that set up the logging libraries only for a first error or warning. Lower levels of Netty are disabled
 * by {@link LogConfigurator} in any case.
 */
public final class DeferredLoggerFactory extends InternalLoggerFactory {
    /** Creates a factory. */
    public DeferredLoggerFactory() {}

    @Override
    protected InternalLogger newInstance(String name) {
        return new DeferredLogger(name);
    }
}

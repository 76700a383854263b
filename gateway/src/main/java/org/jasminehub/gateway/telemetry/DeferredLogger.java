package org.jasminehub.gateway.telemetry;

import io.netty.util.internal.logging.AbstractInternalLogger;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A logger of Netty that passes on errors and warnings only, and sets up the logging libraries for the first of them.
 * Netty reports exceptions that the tasks of an event loop throw as warnings.
 */
final class DeferredLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    DeferredLogger(String name) {
        super(name);
    }

    private Logger target() {
        return LoggerFactory.getLogger(name());
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(String msg) {}

    @Override
    public void trace(String format, @Nullable Object arg) {}

    @Override
    public void trace(String format, @Nullable Object argA, @Nullable Object argB) {}

    @Override
    public void trace(String format, @Nullable Object... arguments) {}

    @Override
    public void trace(String msg, Throwable t) {}

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(String msg) {}

    @Override
    public void debug(String format, @Nullable Object arg) {}

    @Override
    public void debug(String format, @Nullable Object argA, @Nullable Object argB) {}

    @Override
    public void debug(String format, @Nullable Object... arguments) {}

    @Override
    public void debug(String msg, Throwable t) {}

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public void info(String msg) {}

    @Override
    public void info(String format, @Nullable Object arg) {}

    @Override
    public void info(String format, @Nullable Object argA, @Nullable Object argB) {}

    @Override
    public void info(String format, @Nullable Object... arguments) {}

    @Override
    public void info(String msg, Throwable t) {}

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String msg) {
        target().warn(msg);
    }

    @Override
    public void warn(String format, @Nullable Object arg) {
        target().warn(format, arg);
    }

    @Override
    public void warn(String format, @Nullable Object argA, @Nullable Object argB) {
        target().warn(format, argA, argB);
    }

    @Override
    public void warn(String format, @Nullable Object... arguments) {
        target().warn(format, arguments);
    }

    @Override
    public void warn(String msg, Throwable t) {
        target().warn(msg, t);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String msg) {
        target().error(msg);
    }

    @Override
    public void error(String format, @Nullable Object arg) {
        target().error(format, arg);
    }

    @Override
    public void error(String format, @Nullable Object argA, @Nullable Object argB) {
        target().error(format, argA, argB);
    }

    @Override
    public void error(String format, @Nullable Object... arguments) {
        target().error(format, arguments);
    }

    @Override
    public void error(String msg, Throwable t) {
        target().error(msg, t);
    }
}

package org.jasminehub.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** The input of a caller's connection, read at a certain pace. */
final class CallerInput extends InputStream {
    private final InputStream in;
    private final byte[] buffer;
    private final int gapMillis;
    private int next;
    private int end;
    private long lastReadNanos;

    /**
     * Creates an input.
     *
     * @param bytesPerRead the most that is read at once
     * @param gapMillis the time before each read
     */
    CallerInput(InputStream in, int bytesPerRead, int gapMillis) {
        this.in = in;
        this.buffer = new byte[bytesPerRead];
        this.gapMillis = gapMillis;
    }

    /** Returns how long the last read waited for bytes or for the end of the connection. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    private boolean fill() throws IOException {
        if (next == end) {
            if (gapMillis > 0) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(gapMillis));
            }
            next = 0;
            end = 0;
            long startNanos = System.nanoTime();
            try {
                end = Math.max(0, in.read(buffer, 0, buffer.length));
            } finally {
                lastReadNanos = System.nanoTime() - startNanos;
            }
        }
        return next < end;
    }

    @Override
    public int read() throws IOException {
        return fill() ? buffer[next++] & 0xff : -1;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        if (length > 0 && !fill()) {
            return -1;
        }
        int count = Math.min(length, end - next);
        System.arraycopy(buffer, next, target, offset, count);
        next += count;
        return count;
    }
}

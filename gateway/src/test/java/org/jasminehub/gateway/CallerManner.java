package org.jasminehub.gateway;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * How a caller uses its connections.
 *
 * @param receiveBufferBytes the size of the caller's receive buffer, 0 for the system's default
 * @param bytesPerRead the most that the caller reads at once, 0 for no limit
 * @param readGapMillis how long the caller waits before each read
 * @param ignoresAnnouncedClose whether the caller sends its next request although the last response announced the close
 */
record CallerManner(int receiveBufferBytes, int bytesPerRead, int readGapMillis, boolean ignoresAnnouncedClose) {
    /** Reads as fast as possible and leaves a connection whose close has been announced. */
    static final CallerManner PROMPT = new CallerManner(0, 0, 0, false);

    private static final int SMALL_BUFFER_BYTES = 4_096;

    /** Returns one of several manners. */
    static CallerManner any(SplittableRandom random) {
        boolean ignoresAnnouncedClose = random.nextInt(3) == 0;
        return switch (random.nextInt(3)) {
            case 0 -> new CallerManner(0, 0, 0, ignoresAnnouncedClose);
            case 1 -> new CallerManner(SMALL_BUFFER_BYTES, 1_000, 1 + random.nextInt(20), ignoresAnnouncedClose);
            default -> new CallerManner(SMALL_BUFFER_BYTES, 2_000, 20 + random.nextInt(80), ignoresAnnouncedClose);
        };
    }

    /** Returns {@code in}, read at the pace of this caller. */
    InputStream paced(InputStream in) {
        if (bytesPerRead == 0) {
            return in;
        }
        return new FilterInputStream(in) {
            private final byte[] buffer = new byte[bytesPerRead];
            private int next;
            private int end;

            private boolean fill() throws IOException {
                if (next == end) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(readGapMillis));
                    next = 0;
                    end = Math.max(0, in.read(buffer, 0, buffer.length));
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
        };
    }
}

package org.jasminehub.core.intake;

import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/** The memory that one client makes the process hold. Not thread-safe. */
public final class MemoryAccount implements AutoCloseable {
    /** Fewer bytes are no progress, so that a client cannot keep its memory by sending or reading single bytes. */
    static final long MIN_PROGRESS_BYTES = 4 << 10;

    private final MemoryBudget budget;
    private final MemoryHolder holder;
    private final Clock clock;
    private long heldBytes;
    private long transferredBytes;
    private long progressMillis;
    private boolean isEvictable = true;
    private boolean isClosed;

    MemoryAccount(MemoryBudget budget, MemoryHolder holder, Clock clock) {
        this.budget = budget;
        this.holder = holder;
        this.clock = clock;
        this.progressMillis = clock.monotonicMillis();
    }

    /** Returns the bytes that are reserved. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Reserves {@code bytes} and returns true, or reserves nothing and returns false. */
    public boolean tryReserve(long bytes) {
        Checks.notNegative("bytes", bytes);
        if (bytes == 0) {
            return true;
        }
        if (isClosed || !budget.tryReserve(this, bytes)) {
            return false;
        }
        if (heldBytes == 0) {
            restartProgress();
        }
        heldBytes += bytes;
        return true;
    }

    /** Releases {@code bytes} that were reserved; does nothing after {@link #close()}. */
    public void release(long bytes) {
        if (isClosed || bytes == 0) {
            return;
        }
        Checks.that(bytes > 0 && bytes <= heldBytes, "bytes", bytes, "at most the " + heldBytes + " that are held");
        heldBytes -= bytes;
        budget.release(this, bytes);
    }

    /**
     * Sets whether the client determines how long the memory is held, because it has not sent all of its request or not
     * read all of its response. Only then is the holder evicted.
     */
    public void setEvictable(boolean evictable) {
        if (evictable && !isEvictable) {
            restartProgress();
        }
        isEvictable = evictable;
    }

    private void restartProgress() {
        transferredBytes = 0;
        progressMillis = clock.monotonicMillis();
    }

    /** Records that the client has sent or read {@code bytes}; returns whether enough of them to count as progress. */
    public boolean onTransferred(long bytes) {
        transferredBytes += bytes;
        boolean isProgress = transferredBytes >= MIN_PROGRESS_BYTES;
        if (isProgress) {
            restartProgress();
        }
        return isProgress;
    }

    boolean isStalled(long stallMillis) {
        return isEvictable && clock.monotonicMillis() - progressMillis >= stallMillis;
    }

    void evict() {
        holder.evict();
        close();
    }

    /** Releases all memory; nothing can be reserved afterwards. */
    @Override
    public void close() {
        release(heldBytes);
        isClosed = true;
    }
}

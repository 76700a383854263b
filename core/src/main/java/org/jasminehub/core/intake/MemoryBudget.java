package org.jasminehub.core.intake;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * Bounds the memory that all clients together make a process hold.
 *
 * <p>A holder reserves its memory before it allocates it and is refused if there is none left. A part of the budget is
 * reserved for small holders, so that ordinary requests find memory while large ones use up the rest. Holders that make
 * no progress are evicted if others need their memory, the largest first.
 *
 * <pre>{@code
 * MemoryAccount account = budget.open(connection::onEvicted);
 * if (!account.tryReserve(bodyBytes)) {
 *     refuse(SERVICE_UNAVAILABLE);
 * }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class MemoryBudget {
    /** A holder up to this size may use the reserved part; several times an ordinary request with its headers. */
    public static final long SMALL_HOLDER_BYTES = 32 << 10;

    /** A sound client that sends or reads pauses for less than this. */
    static final long STALL_MILLIS = 1_000;

    private static final double RESERVED_SHARE = 0.25;

    private final long totalBytes;
    private final long reservedBytes;
    private final Clock clock;
    private final Set<MemoryAccount> holding = new LinkedHashSet<>();
    private long heldBytes;
    private long refusals;
    private long evictions;

    /** Creates a budget of {@code totalBytes}, a quarter of which is reserved for small holders. */
    public MemoryBudget(long totalBytes, Clock clock) {
        Checks.positive("totalBytes", totalBytes);
        this.totalBytes = totalBytes;
        this.reservedBytes = (long) (totalBytes * RESERVED_SHARE);
        this.clock = clock;
    }

    /** Opens an account without memory; {@code holder} is told if it has to release the account's memory. */
    public MemoryAccount open(MemoryHolder holder) {
        return new MemoryAccount(this, holder, clock);
    }

    /** Returns the bytes that all holders together may reserve. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the bytes that are reserved now. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns how often a reservation was refused. */
    public long refusals() {
        return refusals;
    }

    /** Returns how often a holder was evicted. */
    public long evictions() {
        return evictions;
    }

    boolean tryReserve(MemoryAccount account, long bytes) {
        boolean isSmall = account.heldBytes() + bytes <= SMALL_HOLDER_BYTES;
        long limitBytes = isSmall ? totalBytes : totalBytes - reservedBytes;
        long missingBytes = heldBytes + bytes - limitBytes;
        if (missingBytes > 0 && !makeRoom(account, missingBytes)) {
            refusals++;
            return false;
        }
        heldBytes += bytes;
        holding.add(account);
        return true;
    }

    /** Evicts stalled holders until {@code missingBytes} are free; evicts none if they do not hold that much. */
    private boolean makeRoom(MemoryAccount requester, long missingBytes) {
        List<MemoryAccount> stalled = holding.stream()
                .filter(account -> account != requester && account.isStalled(STALL_MILLIS))
                .sorted(Comparator.comparingLong(MemoryAccount::heldBytes).reversed())
                .toList();
        if (stalled.stream().mapToLong(MemoryAccount::heldBytes).sum() < missingBytes) {
            return false;
        }
        long targetBytes = heldBytes - missingBytes;
        for (MemoryAccount account : stalled) {
            if (heldBytes <= targetBytes) {
                break;
            }
            evictions++;
            account.evict();
        }
        return heldBytes <= targetBytes;
    }

    void release(MemoryAccount account, long bytes) {
        heldBytes -= bytes;
        if (account.heldBytes() == 0) {
            holding.remove(account);
        }
    }
}

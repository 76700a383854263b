package org.jasminehub.core.operation;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.List;
import java.util.Optional;
import org.jasminehub.core.identity.InstanceId;

/**
 * An Idempotency-Key that an agent issued: it names the one incarnation that may run its operation.
 *
 * <p>It needs no table of homes and no log. Its text is opaque to callers.
 *
 * @param issuer the agent's incarnation
 * @param issuedMillis when it was issued, by that incarnation's monotonic clock
 * @param serial unique at that incarnation
 */
public record BoundKey(AgentIncarnation issuer, long issuedMillis, long serial) {
    private static final String PREFIX = "jh1";
    private static final char SEPARATOR = '~';
    private static final int PART_COUNT = 5;

    /** Returns the key as callers send it. */
    public String text() {
        return PREFIX
                + SEPARATOR
                + issuer.agent()
                + SEPARATOR
                + issuer.incarnation()
                + SEPARATOR
                + issuedMillis
                + SEPARATOR
                + serial;
    }

    /** Returns the key that {@code text} holds, or nothing where it is a key of the caller's own making. */
    public static Optional<BoundKey> parse(String text) {
        List<String> parts = Splitter.on(SEPARATOR).splitToList(text);
        if (parts.size() != PART_COUNT
                || !parts.get(0).equals(PREFIX)
                || parts.get(1).isBlank()) {
            return Optional.empty();
        }
        Long incarnation = Longs.tryParse(parts.get(2));
        Long issuedMillis = Longs.tryParse(parts.get(3));
        Long serial = Longs.tryParse(parts.get(4));
        if (incarnation == null || incarnation < 0 || issuedMillis == null || serial == null) {
            return Optional.empty();
        }
        InstanceId agent = new InstanceId(parts.get(1));
        return Optional.of(new BoundKey(new AgentIncarnation(agent, incarnation), issuedMillis, serial));
    }
}

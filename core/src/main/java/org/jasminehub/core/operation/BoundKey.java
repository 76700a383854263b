package org.jasminehub.core.operation;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.List;
import java.util.Optional;
import org.jasminehub.core.identity.InstanceId;

/**
 * An Idempotency-Key issued by an agent, which binds the operation to the incarnation that issued the key.
 *
 * <p>Only that incarnation may run the operation, so neither a home table nor the log is needed. The text form is
 * opaque to callers.
 *
 * @param issuer the incarnation that issued the key
 * @param issuedMillis the time of issue, by the monotonic clock of {@code issuer}
 * @param serial a number that is unique among the keys of {@code issuer}
 */
public record BoundKey(AgentIncarnation issuer, long issuedMillis, long serial) {
    private static final String PREFIX = "jh1";
    private static final char SEPARATOR = '~';
    private static final int PART_COUNT = 5;

    /** Returns the text form of the key, as callers send it. */
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

    /** Parses {@code text}; returns empty if it is a key that a caller generated. */
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

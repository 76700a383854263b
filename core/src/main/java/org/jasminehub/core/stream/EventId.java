package org.jasminehub.core.stream;

import java.math.BigInteger;
import java.util.Optional;
import java.util.regex.Pattern;
import org.jasminehub.core.internal.Checks;

/**
 * The id of a stream event, a whole number that is kept as it was written.
 *
 * <p>The format of streams names no largest id, so ids are never converted to a number of fixed size, which would turn an
 * id out of its range into another one.
 *
 * @param text the decimal digits as received, after a minus sign if the id is negative
 */
public record EventId(String text) {
    /** Covers ids of 256 bits, and bounds the memory and time that an id can take up. */
    public static final int MAX_DIGITS = 78;

    private static final Pattern WHOLE_NUMBER = Pattern.compile("-?[0-9]{1," + MAX_DIGITS + "}");

    /** Creates an id; {@code text} must be a whole number of at most {@link #MAX_DIGITS} digits. */
    public EventId {
        Checks.that(isValid(text), "text", text, "a whole number of at most " + MAX_DIGITS + " digits");
    }

    /** Returns the id with this text, or empty if it is not a whole number of at most {@link #MAX_DIGITS} digits. */
    public static Optional<EventId> parse(String text) {
        return isValid(text) ? Optional.of(new EventId(text)) : Optional.empty();
    }

    /** Returns whether {@code next} is larger than this id by exactly one. */
    public boolean isFollowedBy(EventId next) {
        return new BigInteger(text).add(BigInteger.ONE).equals(new BigInteger(next.text));
    }

    @Override
    public String toString() {
        return text;
    }

    private static boolean isValid(String text) {
        return WHOLE_NUMBER.matcher(text).matches();
    }
}

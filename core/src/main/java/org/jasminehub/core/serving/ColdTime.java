package org.jasminehub.core.serving;

import java.util.regex.Pattern;

/**
 * What an endpoint states about the rest of its cold time.
 *
 * @param kind whether a time is stated
 * @param remainingMillis the rest of the cold time, 0 if the endpoint is warm or states none
 * @param defect the beginning of a value that cannot be used or was lowered, else empty
 */
public record ColdTime(Kind kind, long remainingMillis, String defect) {
    /** Whether a time is stated. */
    public enum Kind {
        /** The endpoint states its time. */
        STATED,
        /** The endpoint states nothing. */
        NOT_STATED,
        /** The stated value is no number or negative, so the endpoint may be cold. */
        MALFORMED
    }

    /** The statement of an endpoint that states nothing. */
    public static final ColdTime NOT_STATED = new ColdTime(Kind.NOT_STATED, 0, "");

    /** Longer times are lowered to this one; an endpoint that is cold for longer states it again. */
    public static final long MAX_MILLIS = ColdStart.MAX_COLD_MILLIS;

    /** Enough of a value to recognize it in the log. */
    private static final int MAX_DEFECT_LENGTH = 40;

    /** Longer texts are malformed, since a number of milliseconds needs few digits. */
    private static final int MAX_TEXT_LENGTH = 64;

    private static final Pattern DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]*)?|\\.[0-9]+");

    /** Returns the statement of a number of milliseconds. */
    public static ColdTime ofMillis(double millis) {
        if (!(millis >= 0)) {
            return malformed(Double.toString(millis));
        }
        double exact = Math.ceil(millis);
        return exact > MAX_MILLIS
                ? new ColdTime(Kind.STATED, MAX_MILLIS, Double.toString(millis))
                : new ColdTime(Kind.STATED, (long) exact, "");
    }

    /** Decodes a decimal number of milliseconds without a sign or an exponent. */
    public static ColdTime parse(String text) {
        String trimmed = text.trim();
        return trimmed.length() <= MAX_TEXT_LENGTH && DECIMAL.matcher(trimmed).matches()
                ? ofMillis(Double.parseDouble(trimmed))
                : malformed(trimmed);
    }

    /** Returns the statement of the value {@code text}, which is no number of milliseconds. */
    public static ColdTime malformed(String text) {
        return new ColdTime(
                Kind.MALFORMED, 0, "'" + text.substring(0, Math.min(text.length(), MAX_DEFECT_LENGTH)) + "'");
    }
}

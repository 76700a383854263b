package org.jasminehub.core.error;

/** What is known about the effect of a request when its caller receives the final response. */
public enum Outcome {
    /** The request was executed once and the response contains its result. */
    DONE("done"),
    /** The request was not executed and never will be by this attempt. */
    NOT_RUN("not-run"),
    /** The request may have been executed. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /** Returns the outcome with {@code label}, or {@link #UNKNOWN} if there is none. */
    public static Outcome of(String label) {
        for (Outcome known : values()) {
            if (known.label.equals(label)) {
                return known;
            }
        }
        return UNKNOWN;
    }

    /** Returns the text form that callers see. */
    public String label() {
        return label;
    }
}

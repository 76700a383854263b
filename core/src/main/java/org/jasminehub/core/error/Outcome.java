package org.jasminehub.core.error;

/** What is known of a request's effect when its caller gets a final answer. */
public enum Outcome {
    /** It ran, once, and its result is in the answer. */
    DONE("done"),
    /** It certainly did not run and never will under this attempt. */
    NOT_RUN("not-run"),
    /** It may have run. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /** Returns the outcome that callers see as {@code label}, or {@link #UNKNOWN} for any other word. */
    public static Outcome of(String label) {
        for (Outcome known : values()) {
            if (known.label.equals(label)) {
                return known;
            }
        }
        return UNKNOWN;
    }

    /** Returns the word that callers see. */
    public String label() {
        return label;
    }
}

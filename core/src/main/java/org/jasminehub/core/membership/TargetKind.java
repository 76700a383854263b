package org.jasminehub.core.membership;

/** The two kinds of work that endpoints take. */
public enum TargetKind {
    /** A model engine. */
    MODEL("model"),
    /** A plain HTTP service. */
    SERVICE("service");

    private final String label;

    TargetKind(String label) {
        this.label = label;
    }

    /** Returns the word that documents use. */
    public String label() {
        return label;
    }
}

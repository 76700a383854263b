package org.jasminehub.core.membership;

/** The kinds of targets that endpoints serve. */
public enum TargetKind {
    /** A model engine. */
    MODEL("model"),
    /** A plain HTTP service. */
    SERVICE("service");

    private final String label;

    TargetKind(String label) {
        this.label = label;
    }

    /** Returns the name of this kind in documents. */
    public String label() {
        return label;
    }
}

package org.jasminehub.core.event;

/**
 * A numbered kind of event; each package defines its kinds in an enum.
 *
 * <p>Ranges of numbers: 1000 process, 2000 documents, 3000 membership, 4000 leases and orders, 5000 requests and
 * routing, 6000 admission, limits and retries, 7000 operations, 8000 expert maps, 9000 stand-ins.
 */
public interface EventKind {
    /** Returns the number, which is unique in the system and never reused for another kind. */
    int number();

    /** Returns the name of the enum constant. */
    String name();

    /** Returns the severity for operators. */
    Severity severity();

    /** Returns a sentence that describes the event. */
    String meaning();
}

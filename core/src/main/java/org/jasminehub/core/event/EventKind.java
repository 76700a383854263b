package org.jasminehub.core.event;

/**
 * A numbered kind of event; each package lists its own in an enum.
 *
 * <p>Numbers by hundred: 1000 process, 2000 documents, 3000 membership, 4000 leases and orders, 5000 requests and
 * routing, 6000 admission, limits and retries, 7000 operations, 8000 expert maps, 9000 stand-ins.
 */
public interface EventKind {
    /** Returns the number, unique in the whole system and never given to another kind. */
    int number();

    /** Returns the kind's name, as an enum constant gives it. */
    String name();

    /** Returns how much an operator should care. */
    Severity severity();

    /** Returns one sentence that says what happened. */
    String meaning();
}

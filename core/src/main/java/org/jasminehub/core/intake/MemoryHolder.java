package org.jasminehub.core.intake;

/** Holds memory on behalf of a client and can give all of it back. */
@FunctionalInterface
public interface MemoryHolder {
    /** Ends what the client has begun and drops what is held for it; the account is closed afterwards. */
    void evict();
}

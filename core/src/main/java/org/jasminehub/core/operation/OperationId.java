package org.jasminehub.core.operation;

import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.internal.Checks;

/**
 * The name of one operation: a caller's key, distinct per workspace and service.
 *
 * @param workspace on whose behalf it runs
 * @param service the plain service that runs it
 * @param key the caller's Idempotency-Key
 */
public record OperationId(WorkspaceId workspace, String service, String key) {
    /** Longest key taken, in characters. */
    public static final int MAX_KEY_LENGTH = 255;

    /** Creates a checked name. */
    public OperationId {
        Checks.notBlank("service", service);
        Checks.notBlank("key", key);
        Checks.inRange("key length", key.length(), 1, MAX_KEY_LENGTH);
    }

    @Override
    public String toString() {
        return workspace + "/" + service + "/" + key;
    }
}

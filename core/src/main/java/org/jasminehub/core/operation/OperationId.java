package org.jasminehub.core.operation;

import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.internal.Checks;

/**
 * Identifies an operation by the caller's key, which is unique per workspace and service.
 *
 * @param workspace the workspace on whose behalf the operation runs
 * @param service the plain service that runs the operation
 * @param key the Idempotency-Key of the request
 */
public record OperationId(WorkspaceId workspace, String service, String key) {
    /** The maximum length of a key, in characters. */
    public static final int MAX_KEY_LENGTH = 255;

    /** Creates an id; throws if the service or key is blank, or the key is too long. */
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

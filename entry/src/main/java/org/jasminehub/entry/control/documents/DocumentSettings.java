package org.jasminehub.entry.control.documents;

import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * What a document controller is told about its instance and the log.
 *
 * @param self the instance's name
 * @param failureDomain the set of instances it tends to fail with
 * @param logRetentionMillis how long the log keeps records
 */
public record DocumentSettings(InstanceId self, FailureDomain failureDomain, long logRetentionMillis) {
    /** Creates checked settings. */
    public DocumentSettings {
        Checks.positive("logRetentionMillis", logRetentionMillis);
    }
}

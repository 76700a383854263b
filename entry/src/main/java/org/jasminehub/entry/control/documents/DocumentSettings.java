package org.jasminehub.entry.control.documents;

import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * The settings of a document controller.
 *
 * @param self the id of the instance
 * @param failureDomain the failure domain of the instance: the set of instances that are likely to fail together
 * @param logRetentionMillis the retention time of records in the log
 */
public record DocumentSettings(InstanceId self, FailureDomain failureDomain, long logRetentionMillis) {
    /** Creates the settings after checking their ranges. */
    public DocumentSettings {
        Checks.positive("logRetentionMillis", logRetentionMillis);
    }
}

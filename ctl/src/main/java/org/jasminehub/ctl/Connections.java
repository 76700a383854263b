package org.jasminehub.ctl;

import java.util.concurrent.CompletionStage;
import org.jasminehub.platform.log.LogService;

/** Opens connections to what the commands talk to. */
interface Connections {
    /** Returns the log at {@code address}, a host and a port. */
    LogService openLog(String address);

    /** Returns what the entry instance at {@code address}, a host and a port, says of itself. */
    CompletionStage<StatusJson> fetchStatus(String address);
}

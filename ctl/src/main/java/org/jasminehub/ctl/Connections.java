package org.jasminehub.ctl;

import java.util.concurrent.CompletionStage;
import org.jasminehub.platform.log.LogService;

/** Opens connections to the platform's log and to entry instances. */
interface Connections {
    /** Returns a client of the log at {@code address}, of the form {@code HOST:PORT}. */
    LogService openLog(String address);

    /** Fetches the status of the entry instance at {@code address}, of the form {@code HOST:PORT}. */
    CompletionStage<StatusJson> fetchStatus(String address);
}

package org.jasminehub.gateway;

/** The traffic of a process that is being stopped. Used on the process's event loop only. */
interface StopTarget {
    /** Returns the number of open connections of callers. */
    int connections();

    /** Returns the number of accepted calls without a response. */
    int openCalls();

    /** Returns the number of connections with a request that was read and has no completely written response. */
    int unansweredConnections();

    /** Closes the connections of callers that have had no request in progress for a while. */
    void closeIdle();

    /** Accepts no further connections. */
    void stopListening();

    /** Ends the open calls; those without a response so far get an error response. */
    void endOpenCalls();

    /** Closes the connections on which every request that was read has its response. */
    void closeAnswered();

    /** Closes all connections, so that no further request is read. */
    void closeAll();
}

package org.jasminehub.gateway.net;

/** Selects the connections that an exchange may use. */
public enum ConnectionUse {
    /** An idle pooled connection if there is one, else a new connection. */
    KEPT_OR_NEW,
    /**
     * Always a new connection, so that no earlier exchange can make it uncertain what the endpoint has received or which
     * request a response belongs to.
     */
    NEW
}

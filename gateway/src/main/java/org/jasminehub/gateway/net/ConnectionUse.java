package org.jasminehub.gateway.net;

/** Which connection an exchange may take. */
public enum ConnectionUse {
    /** Any that is kept, else a new one. */
    KEPT_OR_NEW,
    /** Only a new one, so that no earlier exchange can leave doubt about what the endpoint has seen. */
    NEW
}

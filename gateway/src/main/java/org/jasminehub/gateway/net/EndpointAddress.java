package org.jasminehub.gateway.net;

import org.jasminehub.core.internal.Checks;

/** An IP address and a port; port 0 selects a free port when listening. */
public record EndpointAddress(String host, int port) {
    /** Creates an address. */
    public EndpointAddress {
        Checks.notBlank("host", host);
        Checks.inRange("port", port, 0, 65_535);
    }

    /** Parses an address of the form IP:PORT. */
    public static EndpointAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        Checks.that(colon > 0 && text.substring(colon + 1).matches("\\d{1,5}"), "address", text, "IP:PORT");
        return new EndpointAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}

package org.jasminehub.gateway;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Guards against processes that run out of descriptors because clients open connections that they do not use. */
final class ClientConnectionsProcessTest extends LimitedEntryFixture {
    /** More than the descriptors of the process. */
    private static final int CROWD = 1_000;

    private void checkBesideConnections(int port, String text) throws IOException {
        byte[] bytes = ClientBodiesProcessTest.ascii(text);
        checkBeside(CROWD, port, out -> out.write(bytes));
    }

    @Test
    void testConnectionsThatSendNothing() throws Exception {
        checkBesideConnections(GatewayProcess.CALLER_PORT, "");
    }

    @Test
    void testConnectionsThatSendHalfALine() throws Exception {
        checkBesideConnections(GatewayProcess.CALLER_PORT, "POST /ordi");
    }

    @Test
    void testConnectionsThatSendHalfABody() throws Exception {
        checkBesideConnections(
                GatewayProcess.CALLER_PORT,
                head("/ordinary/x", GatewayFixture.KEY) + "Content-Length: 20\r\n\r\nhalf a bod");
    }

    @Test
    void testConnectionsToTheDirectory() throws Exception {
        checkBesideConnections(GatewayProcess.DIRECTORY_PORT, "");
    }

    @Test
    void testConnectionsToThePeersPort() throws Exception {
        checkBesideConnections(GatewayProcess.PEER_PORT, "");
    }
}

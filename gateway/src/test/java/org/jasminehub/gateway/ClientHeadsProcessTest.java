package org.jasminehub.gateway;

import org.junit.jupiter.api.Test;

/** Guards against processes that run out of memory because clients send heads with thousands of small fields. */
final class ClientHeadsProcessTest extends LimitedEntryFixture {
    private static final int CROWD = 300;

    /** More clients, because less of what each of them sends is kept. */
    private static final int CHUNKS_CROWD = 700;

    /** Returns a head of almost the largest size, without the empty line at its end. */
    private static String headOfSmallFields(String path) {
        String head = head(path, GatewayFixture.KEY);
        String field = "a:b\r\n";
        return head + field.repeat((15 << 10) / field.length() - head.length() / field.length());
    }

    private static ClientCrowd.Script sending(String text) {
        byte[] bytes = ClientBodiesProcessTest.ascii(text);
        return out -> out.write(bytes);
    }

    @Test
    void testHeadsThatStopShortOfTheirEnd() throws Exception {
        checkBeside(CROWD, GatewayProcess.CALLER_PORT, sending(headOfSmallFields("/ordinary/x")));
    }

    @Test
    void testHeadsOfCallsThatAnEndpointDoesNotAnswer() throws Exception {
        checkBeside(
                CROWD, GatewayProcess.CALLER_PORT, sending(headOfSmallFields("/held/x") + "Content-Length: 0\r\n\r\n"));
    }

    @Test
    void testHeadsOfRequestsWhoseBodiesStopShortOfTheirEnd() throws Exception {
        checkBeside(
                CROWD,
                GatewayProcess.CALLER_PORT,
                sending(headOfSmallFields("/ordinary/x") + "Content-Length: 2\r\n\r\nx"));
    }

    @Test
    void testHeadsBehindARequestThatRuns() throws Exception {
        String running = head("/held/x", GatewayFixture.KEY) + "Content-Length: 0\r\n\r\n";
        checkBeside(
                CROWD,
                GatewayProcess.CALLER_PORT,
                sending(running + headOfSmallFields("/ordinary/x") + "Content-Length: 0\r\n\r\n"));
    }

    @Test
    void testSmallChunksBehindARequestThatRuns() throws Exception {
        String running = head("/held/x", GatewayFixture.KEY) + "Content-Length: 0\r\n\r\n";
        String behind = head("/ordinary/x", GatewayFixture.KEY) + "Transfer-Encoding: chunked\r\n\r\n";
        checkBeside(CHUNKS_CROWD, GatewayProcess.CALLER_PORT, sending(running + behind + "1\r\nx\r\n".repeat(20_000)));
    }

    @Test
    void testHeadsToTheDirectory() throws Exception {
        checkBeside(CROWD, GatewayProcess.DIRECTORY_PORT, sending(headOfSmallFields("/resolution")));
    }
}

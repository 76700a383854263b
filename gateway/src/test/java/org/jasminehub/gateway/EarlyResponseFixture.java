package org.jasminehub.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.jasminehub.gateway.control.ControlEventKind;

/** Starts endpoints that respond while the body of the request is still being written to them. */
abstract class EarlyResponseFixture extends GatewayFixture {
    static final String ID = "r-1";
    static final String LAST_CHUNK = "0\r\n\r\n";

    /** Far more than the buffers of the operating system hold if the endpoint does not read. */
    static final int UPLOAD_BYTES = 4 << 20;

    private static final String UPLOAD = "u".repeat(UPLOAD_BYTES);

    @Override
    ScriptedEndpoint newEndpoint() throws IOException {
        return ScriptedEndpoint.replyingEarly(script);
    }

    @Override
    void serveWithOneEndpoint() {
        gateway.configure(1, KEY, UPLOAD_BYTES);
        gateway.register("e-1", endpointOne.port(), "ready");
    }

    static String upload(String path) {
        return GatewayHarness.request("POST", path, ID, KEY, UPLOAD);
    }

    /** Returns the beginning of a signed response; its malformed rate limit makes the entry instance log an event. */
    static String head(ScriptedEndpoint.Request request, String statusAndFields) {
        return "HTTP/1.1 " + statusAndFields + "\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                + "\r\nX-Response-Signature: s\r\nServer-Limit: malformed\r\n\r\n";
    }

    /** Waits until the entry instance has read {@code count} heads. */
    void awaitHeadsRead(long count) {
        GatewayHarness.await(() -> gateway.countEvents(ControlEventKind.RECORD_REJECTED) >= count);
    }

    static void readUpload(Socket socket) throws IOException {
        socket.getInputStream().readNBytes(UPLOAD_BYTES);
    }

    /** Reads up to the end of {@code text} and returns all that was read. */
    static String readUntil(Socket socket, String text) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(text)) {
            int value = in.read();
            if (value < 0) {
                throw new AssertionError("ended after " + read);
            }
            read.append((char) value);
        }
        return read.toString();
    }

    /** Reads to the end of the connection, however it ends, and returns all that was read. */
    static String readRest(Socket socket) {
        StringBuilder read = new StringBuilder();
        byte[] part = new byte[1 << 16];
        try {
            for (int count = socket.getInputStream().read(part); count >= 0; ) {
                read.append(new String(part, 0, count, StandardCharsets.ISO_8859_1));
                count = socket.getInputStream().read(part);
            }
        } catch (IOException e) {
            read.append("[reset]");
        }
        return read.toString();
    }
}

package org.jasminehub.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a caller received in response to one request.
 *
 * @param head the status line and the headers, possibly incomplete
 * @param body the body without chunk framing, possibly incomplete
 * @param isComplete whether the response ended as its framing states
 * @param end how the response ended
 */
record SoakResponse(String head, String body, boolean isComplete, String end) {
    /** An event of a stream, as written by {@link SoakReply}. */
    record StreamEvent(int id, long writtenNanos) {}

    /** The connection was closed regularly, not reset. */
    static final String CLOSED = "connection closed";

    static final String TIMED_OUT = "no data within the time-out";

    private static final String HEAD_END = "\r\n\r\n";

    /** Reads one response; a closed connection or a time-out results in an incomplete response. */
    static SoakResponse read(InputStream in) {
        StringBuilder head = new StringBuilder();
        StringBuilder body = new StringBuilder();
        try {
            while (head.indexOf(HEAD_END) < 0) {
                head.append((char) next(in));
            }
            String length = header(head.toString(), "content-length");
            if (!length.isEmpty()) {
                readBytes(in, Integer.parseInt(length), body);
            } else {
                readChunks(in, body);
            }
            return new SoakResponse(head.toString(), body.toString(), true, "complete");
        } catch (EndOfStream e) {
            return new SoakResponse(head.toString(), body.toString(), false, CLOSED);
        } catch (SocketTimeoutException e) {
            return new SoakResponse(head.toString(), body.toString(), false, TIMED_OUT);
        } catch (IOException e) {
            return new SoakResponse(head.toString(), body.toString(), false, String.valueOf(e.getMessage()));
        }
    }

    int status() {
        return head.length() < 12 ? 0 : Integer.parseInt(head.substring(9, 12));
    }

    String header(String name) {
        return header(head, name);
    }

    boolean isLastOnConnection() {
        return header("connection").equalsIgnoreCase("close");
    }

    /** Returns the complete events of the body. */
    List<StreamEvent> events() {
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n", start)) {
            String[] lines = body.substring(start, end).split("\n");
            events.add(new StreamEvent(
                    Integer.parseInt(lines[0].substring("id: ".length())),
                    Long.parseLong(lines[1].substring("data: ".length()))));
            start = end + 2;
        }
        return events;
    }

    String summary() {
        String statusLine = head.contains("\r\n") ? head.substring(0, head.indexOf("\r\n")) : "no status line";
        return statusLine + (isLastOnConnection() ? " (Connection: close)" : "") + ", " + body.length()
                + " bytes of body, " + end + (status() >= 400 ? ": " + body.trim() : "");
    }

    private static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return "";
    }

    private static void readChunks(InputStream in, StringBuilder body) throws IOException {
        while (true) {
            StringBuilder size = new StringBuilder();
            while (size.indexOf("\r\n") < 0) {
                size.append((char) next(in));
            }
            int length = Integer.parseInt(size.toString().trim(), 16);
            readBytes(in, length, body);
            readBytes(in, 2, new StringBuilder());
            if (length == 0) {
                return;
            }
        }
    }

    private static void readBytes(InputStream in, int length, StringBuilder target) throws IOException {
        byte[] bytes = in.readNBytes(length);
        target.append(new String(bytes, StandardCharsets.UTF_8));
        if (bytes.length < length) {
            throw new EndOfStream();
        }
    }

    private static int next(InputStream in) throws IOException {
        int value = in.read();
        if (value < 0) {
            throw new EndOfStream();
        }
        return value;
    }

    /** The connection was closed regularly before the response was complete. */
    private static final class EndOfStream extends IOException {
        private static final long serialVersionUID = 1;
    }
}

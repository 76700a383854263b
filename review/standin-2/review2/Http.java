package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and formats HTTP/1.1 messages on blocking streams. */
final class Http {
    private Http() {}

    /** The head of a message: its first line and its header fields, whose names ignore case. */
    record Head(String firstLine, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        /** Returns the word {@code index} of the first line. */
        String word(int index) {
            return firstLine.split(" ", 3)[index];
        }

        int status() {
            return Integer.parseInt(word(1));
        }
    }

    /** Returns the next head, or null if the peer closed the connection before it. */
    static Head readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                if (lines.isEmpty()) {
                    return null;
                }
                throw new EOFException("closed inside a head");
            }
            if (line.isEmpty()) {
                if (lines.isEmpty()) {
                    continue;
                }
                break;
            }
            lines.add(line);
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line : lines.subList(1, lines.size())) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Head(lines.get(0), headers);
    }

    /** Returns the next line without its end, or null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("closed inside a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Returns the body of a request, which has a length or none. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        String length = head.header("content-length");
        if (length == null) {
            return new byte[0];
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) {
            throw new EOFException("closed inside a body");
        }
        return body;
    }

    /** Returns the next chunk of a chunked body, or null after the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("closed before a chunk");
        }
        int size = Integer.parseInt(line.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) {
            throw new EOFException("closed inside a chunk");
        }
        if (readLine(in) == null) {
            throw new EOFException("closed behind a chunk");
        }
        return size == 0 ? null : chunk;
    }

    /** Returns a whole response. */
    static byte[] response(String status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }

    /** Returns the parameter {@code name} of a request target, or {@code otherwise}. */
    static String parameter(String target, String name, String otherwise) {
        int query = target.indexOf('?');
        if (query >= 0) {
            for (String pair : target.substring(query + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0 && pair.substring(0, equals).equals(name)) {
                    return java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
                }
            }
        }
        return otherwise;
    }
}

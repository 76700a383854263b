import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Small HTTP/1.1 helpers on plain sockets. */
final class Net {
    private Net() {}

    interface Task {
        void run() throws Exception;
    }

    /** A request or a response; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body, boolean isComplete) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer has gone; the record shows what it got.
            }
        }, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] headBytes = head.getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int value;
        while ((value = in.read()) >= 0) {
            if (value == '\n') {
                return line.toString(StandardCharsets.UTF_8).stripTrailing();
            }
            line.write(value);
        }
        return line.size() == 0 ? null : line.toString(StandardCharsets.UTF_8);
    }

    /** Reads a message; null if the stream ended before its first byte. */
    static Message readMessage(InputStream in, boolean isRequest) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
        }
        if (line == null) {
            throw new EOFException("head cut");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isComplete = true;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            isComplete = false;
            try {
                while (true) {
                    int size = Integer.parseInt(String.valueOf(readLine(in)).split(";")[0], 16);
                    body.writeBytes(in.readNBytes(size));
                    readLine(in);
                    if (size == 0) {
                        isComplete = true;
                        break;
                    }
                }
            } catch (IOException | NumberFormatException e) {
                // Incomplete.
            }
        } else if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body.writeBytes(in.readNBytes(length));
            isComplete = body.size() == length;
        } else if (!isRequest) {
            body.writeBytes(in.readAllBytes());
        }
        return new Message(startLine, headers, body.toByteArray(), isComplete);
    }

    static Map<String, String> query(String target) {
        Map<String, String> result = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                result.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return result;
    }
}

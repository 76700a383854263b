import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One client with one kept connection to an entry instance. */
final class Client {
    /** What became of a request; the status is 0 if the connection ended without a complete answer, -1 if none came. */
    record Answer(int status, String reason, long sentMillis, long answeredMillis, boolean wasKept, String signature) {
        long durationMillis() {
            return answeredMillis - sentMillis;
        }
    }

    private final EntryProcess entry;
    private final Record record;
    private final int patienceMillis;
    private Socket socket;
    private boolean isKept;

    Client(EntryProcess entry, Record record, int patienceMillis) {
        this.entry = entry;
        this.record = record;
        this.patienceMillis = patienceMillis;
    }

    /** Writes the bytes of a request. */
    interface BodyWriter {
        void write(Socket socket) throws IOException, InterruptedException;
    }

    static String head(String method, String target, String id, String key, long deadlineMillis, int length) {
        return method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Milliseconds: " + deadlineMillis + "\r\nAuthorization: Bearer " + key
                + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    Answer send(String id, String head, byte[] body) throws IOException {
        return send(id, socket -> Net.write(socket.getOutputStream(), head, body));
    }

    /** Sends a request on the kept connection, or on a new one if there is none, and waits for its answer. */
    Answer send(String id, BodyWriter writer) throws IOException {
        long sentMillis = record.millis();
        boolean wasKept = isKept;
        try {
            if (socket == null) {
                socket = entry.connect(EntryProcess.FRONT);
                socket.setSoTimeout(patienceMillis);
                wasKept = false;
            }
            writer.write(socket);
            sentMillis = record.millis();
            Net.Message answer = Net.readMessage(socket.getInputStream(), false);
            long answeredMillis = record.millis();
            if (answer == null || !answer.isComplete()) {
                close();
                return new Answer(0, "closed", sentMillis, answeredMillis, wasKept, null);
            }
            if ("close".equalsIgnoreCase(answer.header("connection"))) {
                close();
            } else {
                isKept = true;
            }
            String text = answer.status() < 400
                    ? ""
                    : new String(answer.body(), StandardCharsets.UTF_8).trim();
            return new Answer(
                    answer.status(),
                    text,
                    sentMillis,
                    answeredMillis,
                    wasKept,
                    answer.header("x-response-signature"));
        } catch (SocketTimeoutException e) {
            close();
            return new Answer(-1, "no answer", sentMillis, record.millis(), wasKept, null);
        } catch (IOException | InterruptedException e) {
            close();
            return new Answer(0, String.valueOf(e.getMessage()), sentMillis, record.millis(), wasKept, null);
        }
    }

    void close() throws IOException {
        isKept = false;
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }
}

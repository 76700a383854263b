import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** One of three model servers answers one stream with line ends without end, until its channel is closed. */
final class EndlessNewlines {
    private static final int BOOKING_TIMEOUT_MILLIS = 2_000;
    private static final int STREAM_TIMEOUT_MILLIS = 8_000;
    private static final int SLACK_MILLIS = 500;
    private static final int BOOKING_CLIENTS = 30;
    private static final int STREAM_CLIENTS = 6;
    private static final int EVENTS = 24;

    /** At most 14 Mbit/s, the link of a model server's machine. */
    private static final int PIECE_BYTES = 17_500;

    private static final int PIECE_PAUSE_MILLIS = 10;
    private static final long TROUBLE_AT_MILLIS = 3_000;
    private static final long LENGTH_MILLIS = 16_000;

    private record Outcome(int timeoutMillis, boolean hasRun, Client.Answer answer) {}

    public static void main(String[] args) throws Exception {
        Trial trial = new Trial(Path.of(args[0]));
        Record record = trial.record;
        trial.putConfig(
                7,
                Trial.route("r-book", "/book/", "unsafe", BOOKING_TIMEOUT_MILLIS, 300, "booking"),
                Trial.route("r-tide", "/tide/", "streaming", STREAM_TIMEOUT_MILLIS, 501, "herd")
                        .replace("}", ",\"resume_streams\":true,\"gap_aim_ms\":120}"));
        Map<String, String> runs = new ConcurrentHashMap<>();
        for (int number = 0; number < 3; number++) {
            String id = "i-" + number;
            new PlainServer(trial.store, id, "booking", (request, socket) -> {
                String attempt = request.header("x-attempt-id");
                record.line(id + " runs " + attempt);
                runs.put(attempt, id);
                Thread.sleep(60);
                Net.write(socket.getOutputStream(), head(attempt, id) + "Content-Length: 2\r\n\r\n", "ok".getBytes());
                return true;
            });
        }
        AtomicBoolean isDue = new AtomicBoolean();
        AtomicLong endless = new AtomicLong();
        for (int number = 0; number < 3; number++) {
            String id = "m-" + number;
            new PlainServer(trial.store, id, "herd", (request, socket) -> {
                String attempt = request.header("x-attempt-id");
                String lastEventId = request.header("last-event-id");
                runs.put(attempt, id);
                if (isDue.compareAndSet(true, false)) {
                    record.line(id + " answers " + attempt + " with line ends without end");
                    sendNewlines(socket, head(attempt, id), endless);
                    record.line(id + ": the channel was closed after " + endless + " bytes");
                    return false;
                }
                record.line(id + " runs " + attempt + " after event " + lastEventId);
                stream(socket, head(attempt, id), lastEventId == null ? 0 : Integer.parseInt(lastEventId));
                return true;
            });
        }
        EntryProcess entry = trial.startEntries(1).get(0);
        Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
        long endMillis = record.millis() + LENGTH_MILLIS;
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < BOOKING_CLIENTS; number++) {
            String name = "b" + number;
            threads.add(Net.daemon(
                    name,
                    () -> run(name, "/book/2f", BOOKING_TIMEOUT_MILLIS, 300, entry, record, endMillis, runs, outcomes)));
        }
        for (int number = 0; number < STREAM_CLIENTS; number++) {
            String name = "t" + number;
            threads.add(Net.daemon(
                    name,
                    () -> run(name, "/tide/2f", STREAM_TIMEOUT_MILLIS, 100, entry, record, endMillis, runs, outcomes)));
        }
        Thread.sleep(TROUBLE_AT_MILLIS);
        isDue.set(trial.hasTrouble);
        for (Thread thread : threads) {
            thread.join();
        }
        int longer = 0;
        int unanswered = 0;
        int served = 0;
        int ranUnserved = 0;
        long longestMillis = 0;
        for (Outcome outcome : outcomes) {
            Client.Answer answer = outcome.answer();
            boolean isLonger = answer.durationMillis() > outcome.timeoutMillis();
            longer += isLonger ? 1 : 0;
            unanswered += answer.durationMillis() > outcome.timeoutMillis() + SLACK_MILLIS ? 1 : 0;
            served += answer.status() == 200 ? 1 : 0;
            ranUnserved += answer.status() != 200 && outcome.hasRun() ? 1 : 0;
            if (outcome.timeoutMillis() == BOOKING_TIMEOUT_MILLIS) {
                longestMillis = Math.max(longestMillis, answer.durationMillis());
            }
        }
        String summary = outcomes.size() + " requests, " + served + " served; " + longer
                + " lasted longer than their timeout, " + unanswered + " of them had no answer " + SLACK_MILLIS
                + " ms later; longest booking " + longestMillis + " ms; " + ranUnserved
                + " ran and were not answered with success; " + endless + " bytes of line ends";
        record.line(summary);
        System.out.println(summary);
        if (served == 0) {
            trial.end(Trial.COULD_NOT_RUN);
        }
        trial.end(unanswered >= 8 && 4 * unanswered > longer ? Trial.BROKEN : Trial.HELD);
    }

    private static String head(String attempt, String id) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id
                + "\r\nX-Response-Signature: sig-" + attempt + "\r\n";
    }

    private static void sendNewlines(Socket socket, String head, AtomicLong sent) throws Exception {
        OutputStream out = socket.getOutputStream();
        out.write((head + "Content-Type: text/event-stream\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        byte[] newlines = new byte[PIECE_BYTES];
        Arrays.fill(newlines, (byte) '\n');
        try {
            while (true) {
                out.write(newlines);
                sent.addAndGet(newlines.length);
                Thread.sleep(PIECE_PAUSE_MILLIS);
            }
        } catch (java.io.IOException e) {
            // The caller has closed the channel.
        }
    }

    private static void stream(Socket socket, String head, int lastEvent) throws Exception {
        OutputStream out = socket.getOutputStream();
        Net.write(out, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
        for (int event = lastEvent + 1; event <= EVENTS; event++) {
            Thread.sleep(20);
            byte[] bytes = ("id: " + event + "\ndata: tide " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
            Net.write(out, Integer.toHexString(bytes.length) + "\r\n", bytes);
            Net.write(out, "\r\n", new byte[0]);
        }
        Net.write(out, "0\r\n\r\n", new byte[0]);
    }

    private static void run(
            String name,
            String target,
            int timeoutMillis,
            long pauseMillis,
            EntryProcess entry,
            Record record,
            long endMillis,
            Map<String, String> runs,
            Queue<Outcome> outcomes)
            throws Exception {
        Client client = new Client(entry, record, 20_000);
        for (int number = 0; record.millis() < endMillis; number++) {
            String id = name + "-" + number;
            byte[] body = "question".getBytes();
            record.line(name + " sends " + id);
            Client.Answer answer =
                    client.send(id, Client.head("POST", target, id, Trial.KEY, timeoutMillis, body.length), body);
            boolean hasRun = runs.containsKey(id);
            record.line(name + " gets " + answer.status() + " for " + id + " after " + answer.durationMillis()
                    + " ms" + (hasRun ? ", which has run " : " ") + answer.reason());
            outcomes.add(new Outcome(timeoutMillis, hasRun, answer));
            Thread.sleep(pauseMillis);
        }
    }
}

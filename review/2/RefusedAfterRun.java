import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A grey server runs bookings, then fails part of them with 429 or 408; it does not state that it has not run them. */
final class RefusedAfterRun {
    private static final int SLOTS = 6;

    /** One grey server of eight is a share of 0.125; the site file allows 0.14. */
    private static final int SERVERS = 8;

    private static final int CLIENTS = 6;
    private static final int REQUESTS = 20;

    /** Of the requests of the grey server, as in the site file (srv_grey, x = 0.45: nine of twenty). */
    private static final int GREY_OF_20 = 9;

    public static void main(String[] args) throws Exception {
        Trial trial = new Trial(Path.of(args[0]));
        Record record = trial.record;
        trial.putConfig(7, Trial.route("r-book", "/book/", "unsafe", 2_000, 300, "booking"));
        Map<String, String> runs = new ConcurrentHashMap<>();
        AtomicInteger greyRequests = new AtomicInteger();
        for (int number = 0; number < SERVERS; number++) {
            String id = "i-" + number;
            boolean isGrey = trial.hasTrouble && number == 0;
            Semaphore slots = new Semaphore(SLOTS);
            new PlainServer(trial.store, id, "booking", (request, socket) -> {
                String attempt = request.header("x-attempt-id");
                String common = "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\nContent-Length: 2\r\n";
                if (!slots.tryAcquire(500, TimeUnit.MILLISECONDS)) {
                    Net.write(
                            socket.getOutputStream(),
                            "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + common + "\r\n",
                            "no".getBytes());
                    return true;
                }
                try {
                    record.line(id + " runs " + attempt);
                    runs.merge(attempt, id, (first, second) -> first + " " + second);
                    Thread.sleep(60);
                } finally {
                    slots.release();
                }
                int count = isGrey ? greyRequests.getAndIncrement() : 0;
                boolean isFailed = isGrey && count % 20 < GREY_OF_20;
                int status = !isFailed ? 200 : count % 2 == 0 ? 429 : 408;
                record.line(id + " answers " + attempt + " with " + status);
                Net.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 " + status + " Status\r\nX-Response-Signature: sig-" + attempt + "\r\n" + common
                                + "\r\n",
                        "ok".getBytes());
                return true;
            });
        }
        List<EntryProcess> entries = trial.startEntries(2);
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        Thread[] threads = new Thread[CLIENTS];
        for (int number = 0; number < CLIENTS; number++) {
            Client client = new Client(entries.get(number % 2), record, 5_000);
            String name = "c" + number;
            threads[number] = Net.daemon(name, () -> {
                for (int request = 0; request < REQUESTS; request++) {
                    String id = name + "-" + request;
                    byte[] body = "visit".getBytes();
                    record.line(name + " sends " + id);
                    Client.Answer answer = client.send(
                            id, Client.head("POST", "/book/2f", id, Trial.KEY, 4_000, body.length), body);
                    boolean isPromise = List.of(408, 421, 429, 503).contains(answer.status());
                    boolean hasRun = runs.containsKey(id);
                    record.line(name + " gets " + answer.status() + " for " + id + (hasRun ? ", which has run" : ""));
                    if (answer.status() == 200) {
                        served.incrementAndGet();
                    }
                    if (isPromise && hasRun) {
                        broken.incrementAndGet();
                        record.line("REFUSED: " + id + " was answered " + answer.status() + " and has run at "
                                + runs.get(id));
                    }
                    Thread.sleep(50);
                }
            });
        }
        for (Thread thread : threads) {
            thread.join();
        }
        String summary = served + " of " + CLIENTS * REQUESTS + " requests served; " + broken
                + " answered 408 or 429 though they had run";
        record.line(summary);
        System.out.println(summary);
        if (served.get() == 0) {
            trial.end(Trial.COULD_NOT_RUN);
        }
        trial.end(broken.get() > 0 ? Trial.BROKEN : Trial.HELD);
    }
}

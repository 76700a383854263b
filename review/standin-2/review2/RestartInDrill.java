package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Two entry instances are stopped and started in turn. A key is taken away meanwhile. As the second instance starts again,
 * the store comes back from a copy in a drill, which was made before that, while the first instance was down.
 */
final class RestartInDrill extends Case {
    private static final String HOST = "reads.example";
    private static final String KEY = "key-that-is-taken-away-0001";
    private static final long REVOKE_MILLIS = 5_000;
    private static final long GRACE_MILLIS = 8_000;
    private static final long AWAY_MILLIS = 300;

    /** Lost records of the servers are back within about two seconds; the operator's are here, too. */
    private static final long REWRITE_MILLIS = 2_000;

    private final Store store = use(new Store());
    private final List<AppServer> servers = new ArrayList<>();
    private final Map<String, Long> sentMillisById = new ConcurrentHashMap<>();
    private final List<Map<String, String>> settings = new ArrayList<>();
    private final List<String> seeds = new ArrayList<>();
    private final List<Program> entries = new CopyOnWriteArrayList<>();
    private volatile boolean isOver;

    private RestartInDrill(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new RestartInDrill(Path.of(args[0])).runAndExit();
    }

    private void publish(int version, boolean holdsKey) {
        store.put("keyed.op", "config",
                "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-0\",\"host\":\"" + HOST
                        + "\",\"path_prefix\":\"/reads/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":386,"
                        + "\"priority\":2,\"service\":\"reads\",\"attempts\":2,\"public\":false}],\"services\":[{\"name\":"
                        + "\"reads\",\"health_path\":\"/health\",\"connection_limit\":100,\"protocol\":\"h1\",\"tls\":false}],"
                        + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"leaver\",\"api_keys\":["
                        + (holdsKey ? "\"" + KEY + "\"" : "")
                        + "],\"priority\":1},{\"name\":\"stayer\",\"api_keys\":[\"key-that-stays\"],\"priority\":1}]}");
        record.line("the store confirms version %d%s", version, holdsKey ? "" : " without the key");
    }

    @Override
    boolean run() throws Exception {
        publish(1, true);
        for (int index = 0; index < 3; index++) {
            servers.add(use(new AppServer("i-" + index, "reads", "zone-" + index, store, record)));
        }
        for (int index = 0; index < 2; index++) {
            settings.add(Program.entryFields(
                    "front-" + index, nextHost(), "zone-" + index, store.open().address()));
            seeds.add(settings.get(index).get("listen.control"));
        }
        for (int index = 0; index < 2; index++) {
            entries.add(start(index));
        }
        for (Program entry : entries) {
            entry.awaitReady(30_000);
        }
        List<Thread> senders = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            int number = index;
            senders.add(Listener.start(() -> send(number)));
        }
        Thread.sleep(2_000);
        record.line("front-1 gets SIGTERM");
        entries.get(1).signal("TERM");
        Thread.sleep(800);
        Store.Copy copy = store.copy();
        record.line("the store is copied");
        Thread.sleep(400);
        publish(2, false);
        long revokedMillis = record.nowMillis();
        awaitEnd(entries.get(1));
        entries.set(1, start(1));
        entries.get(1).awaitReady(10_000);
        record.line("front-1 is ready again");
        Thread.sleep(Math.max(0, revokedMillis + 4_000 - record.nowMillis()));
        record.line("front-0 gets SIGTERM");
        entries.get(0).signal("TERM");
        awaitEnd(entries.get(0));
        if (hasTrouble) {
            store.goAway();
            Thread.sleep(AWAY_MILLIS);
            store.comeBackFrom(copy);
            record.line("the store is back from the copy");
        }
        entries.set(0, start(0));
        Thread.sleep(REWRITE_MILLIS);
        publish(2, false);
        Thread.sleep(4_000);
        isOver = true;
        for (Thread sender : senders) {
            sender.join(5_000);
        }
        int late = 0;
        int before = 0;
        for (AppServer server : servers) {
            for (AppServer.Run run : server.runs()) {
                boolean isLate = sentMillisById.get(run.id()) > revokedMillis + REVOKE_MILLIS;
                late += isLate ? 1 : 0;
                before += isLate ? 0 : 1;
                if (isLate && late <= 5) {
                    record.say("%s ran although it was sent %d ms after its key was taken away", run.id(),
                            sentMillisById.get(run.id()) - revokedMillis);
                }
            }
        }
        record.say("%d requests with the key ran before it lapsed, %d after it", before, late);
        if (before == 0 || entries.get(0).readiness() != 200) {
            throw new IllegalStateException("front-0 does not serve");
        }
        return late == 0;
    }

    private Program start(int index) throws Exception {
        record.line("front-%d starts", index);
        return use(Program.entry(settings.get(index), seeds, temporary()));
    }

    private void awaitEnd(Program entry) throws Exception {
        long limitMillis = record.nowMillis() + GRACE_MILLIS;
        while (entry.isRunning() && record.nowMillis() < limitMillis) {
            Thread.sleep(10);
        }
        entry.close();
        record.line("%s has ended", entry.name());
    }

    private void send(int index) {
        Program used = entries.get(index);
        Caller caller = new Caller(used.address("front"));
        for (int number = 0; !isOver; number++) {
            if (entries.get(index) != used) {
                caller.close();
                used = entries.get(index);
                caller = new Caller(used.address("front"));
            }
            String id = "leaver-" + index + "-" + number;
            sentMillisById.put(id, record.nowMillis());
            Caller.Answer answer = caller.get("/reads/" + number, HOST, id, KEY, 1_500);
            record.line("%s got %d", id, answer.status());
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
        caller.close();
    }
}

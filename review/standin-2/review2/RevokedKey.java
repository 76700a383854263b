package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store turns the entry instances away for a while. Meanwhile the operator publishes several versions of a large
 * configuration, and the last of them takes a key away. Its holder keeps sending requests.
 */
final class RevokedKey extends Case {
    private static final String HOST = "reads.example";
    private static final String KEY = "key-that-is-taken-away-0001";
    private static final String TENANT = "leaver";
    private static final String STAYING_KEY = "key-that-stays-0000000001";

    private static final long REVOKE_MILLIS = 5_000;

    /** Below the 9 s for which the site's days let the store turn machines away. */
    private static final long OUTAGE_MILLIS = 8_800;

    /** As many routes as the site's days add with big_config. */
    private static final int MANY_ROUTES = 400;

    /** With the interval, a series of 2 s, as the grown site's config_storm has. */
    private static final int QUICK_VERSIONS = 24;

    private static final long VERSION_INTERVAL_MILLIS = 80;
    private static final int TENANTS = 8;
    private static final int INSTANCES = 2;
    private static final int RANK_AGENTS = 4;
    private static final long REQUEST_INTERVAL_MILLIS = 10;

    private final Store store = use(new Store());
    private final List<AppServer> servers = new ArrayList<>();
    private final Map<String, Long> sentMillisById = new ConcurrentHashMap<>();
    private volatile boolean isOver;

    private RevokedKey(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new RevokedKey(Path.of(args[0])).runAndExit();
    }

    private static String configuration(int version, int routes, boolean holdsKey) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int route = 0; route < routes; route++) {
            text.append(route == 0 ? "" : ",")
                    .append("{\"name\":\"r-" + route + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/read" + route
                            + "/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":386,\"priority\":2,"
                            + "\"service\":\"reads\",\"attempts\":2,\"public\":false,\"session_affinity\":false,"
                            + "\"resume_streams\":false,\"gap_aim_ms\":120}");
        }
        text.append("],\"services\":[{\"name\":\"reads\",\"health_path\":\"/health\",\"connection_limit\":100,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[");
        text.append("{\"name\":\"" + TENANT + "\",\"api_keys\":[" + (holdsKey ? "\"" + KEY + "\"" : "")
                + "],\"priority\":1},{\"name\":\"stayer\",\"api_keys\":[\"" + STAYING_KEY + "\"],\"priority\":1}");
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            text.append(",{\"name\":\"tenant" + tenant + "\",\"api_keys\":[\"k" + (1_000_000_000_000L + tenant)
                    + "\"],\"priority\":1}");
        }
        return text.append("]}").toString();
    }

    private void publish(int version, int routes, boolean holdsKey) {
        String text = configuration(version, routes, holdsKey);
        store.put("keyed.op", "config", text);
        record.line("the store confirms version %d, %d bytes%s", version, text.length(),
                holdsKey ? "" : ", without the key of " + TENANT);
    }

    private void sendRequests(Program entry, String key, String name) {
        Caller caller = use(new Caller(entry.address("front")));
        long untilMillis = 0;
        for (int number = 0; !isOver; number++) {
            String id = name + "-" + number;
            long sentMillis = record.nowMillis();
            sentMillisById.put(id, sentMillis);
            Caller.Answer answer = caller.get("/read0/" + number, HOST, id, key, 1_500);
            record.line("%s of %s at %s was sent at %.3f and got %d", id, key == KEY ? TENANT : "stayer",
                    entry.name(), sentMillis / 1_000.0, answer.status());
            untilMillis = Math.max(untilMillis + REQUEST_INTERVAL_MILLIS, record.nowMillis());
            pause(untilMillis - record.nowMillis());
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(Math.max(1, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    boolean run() throws Exception {
        publish(1, MANY_ROUTES, true);
        for (int index = 0; index < 3; index++) {
            servers.add(use(new AppServer("i-" + index, "reads", "zone-" + index, store, record)));
        }
        List<Store.Access> accesses = new ArrayList<>();
        List<Program> entries = new ArrayList<>();
        for (int index = 0; index < INSTANCES; index++) {
            Store.Access access = store.open();
            accesses.add(access);
            entries.add(use(Program.entry("front-" + index, nextHost(), "zone-" + index, access.address(), temporary())));
        }
        for (int index = 0; index < RANK_AGENTS; index++) {
            use(Program.rankAgent("side-" + index, nextHost(), "zone-" + index % 3, "127.0.0.1:9", store.open().address(),
                    temporary()));
        }
        for (Program entry : entries) {
            entry.awaitReady(30_000);
        }
        record.line("%d entry instances and %d rank agents run", INSTANCES, RANK_AGENTS);
        List<Thread> senders = new ArrayList<>();
        for (Program entry : entries) {
            senders.add(Listener.start(() -> sendRequests(entry, KEY, "leaver-" + entry.name())));
            senders.add(Listener.start(() -> sendRequests(entry, STAYING_KEY, "stayer-" + entry.name())));
        }
        pause(3_000);
        long outageMillis = record.nowMillis();
        if (hasTrouble) {
            accesses.forEach(access -> access.setTurnedAway(true));
            record.line("the store turns the entry instances away from now on");
        }
        pause(300);
        int version = 1;
        for (int step = 0; step < QUICK_VERSIONS; step++) {
            version++;
            publish(version, MANY_ROUTES + step % 2, true);
            pause(VERSION_INTERVAL_MILLIS);
        }
        version++;
        publish(version, MANY_ROUTES, false);
        long revokedMillis = record.nowMillis();
        record.line("the key is taken away");
        pause(outageMillis + OUTAGE_MILLIS - record.nowMillis());
        accesses.forEach(access -> access.setTurnedAway(false));
        record.line("the outage lasted %d ms", record.nowMillis() - outageMillis);
        record.line("the store serves all machines again");
        pause(5_000);
        isOver = true;
        for (Thread sender : senders) {
            sender.join(5_000);
        }
        return judge(revokedMillis);
    }

    /** CONFIG: a request runs that was sent later than revoke_ms after the confirmation that took its key away. */
    private boolean judge(long revokedMillis) {
        int late = 0;
        int served = 0;
        int before = 0;
        for (AppServer server : servers) {
            for (AppServer.Run run : server.runs()) {
                long sentMillis = sentMillisById.get(run.id());
                boolean isLeaver = TENANT.equals(run.tenant());
                if (isLeaver && sentMillis > revokedMillis + REVOKE_MILLIS) {
                    late++;
                    if (late <= 5) {
                        record.say("%s ran although it was sent %d ms after its key was taken away", run.id(),
                                sentMillis - revokedMillis);
                    }
                } else if (isLeaver) {
                    before++;
                } else {
                    served++;
                }
            }
        }
        record.say("%d requests of the tenant that keeps its key ran, %d with the key before it lapsed, %d after it",
                served, before, late);
        if (served == 0 || before == 0) {
            throw new IllegalStateException("no request was served");
        }
        return late == 0;
    }
}

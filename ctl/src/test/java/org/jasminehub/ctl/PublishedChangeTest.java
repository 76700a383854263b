package org.jasminehub.ctl;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.approvaltests.Approvals;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.entry.EntryInstance;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.runtime.time.SystemClock;
import org.jasminehub.standin.InstanceListStandin;
import org.jasminehub.standin.LogStandin;
import org.jasminehub.wire.WireGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Publishes documents to entry instances over real sockets, with and without an outage of the platform's log. */
final class PublishedChangeTest {
    private static final String HOST = "127.0.0.1";
    private static final long POLL_NANOS = 10_000_000;

    @TempDir
    Path directory;

    private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "test");
    private final WireGroup group = new WireGroup(1);
    private final LogStandin log = new LogStandin(system, 0);
    private final InstanceListStandin list = new InstanceListStandin(system, 0);
    private final List<EntryInstance> entries = new ArrayList<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final PrintStream console = new PrintStream(bytes, true, StandardCharsets.UTF_8);

    @AfterEach
    void stop() {
        entries.forEach(EntryInstance::close);
        log.close();
        list.close();
        group.close();
        system.terminate();
    }

    private EntryInstance start(int number, String domain) {
        String name = "entry-" + number;
        EntryInstance entry = new EntryInstance(
                new EntrySettings(name, domain, HOST, 0, 0, 0, log.address(), list.address(), 100, 10_000, 100_000),
                system,
                group,
                () -> new RequestId(UUID.randomUUID().toString()),
                new SystemClock(),
                event -> {},
                new MetricRegistry());
        entries.add(entry);
        list.put(new Member(
                new InstanceId(name),
                MemberRole.ENTRY,
                MemberState.LIVE,
                new FailureDomain(domain),
                HOST,
                entry.wirePort(),
                entry.callerPort(),
                List.of()));
        return entry;
    }

    private void awaitEntryCount(int count) {
        while (!entries.stream()
                .allMatch(entry -> entry.state().membersOf(MemberRole.ENTRY).size() >= count)) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private void awaitSnapshot() {
        while (log.nextOffset() < 2) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private void printHeading(String line) {
        console.println("# " + line);
    }

    private void run(String line) {
        console.println("$ jasminehubctl " + line);
        String[] arguments = line.replace("DIR", directory.toString())
                .replace("LOG", HOST + ":" + log.address().port())
                .replace("ENTRY", HOST + ":" + entries.get(0).callerPort())
                .split(" ");
        CtlProgram program = new CtlProgram(
                new HttpConnections(system),
                new SystemClock(),
                millis -> LockSupport.parkNanos(millis * 1_000_000),
                () -> UUID.randomUUID().toString(),
                console,
                console);
        console.println("exit " + program.run(arguments).status());
    }

    private void publish(String base, String operator, int weight) throws IOException {
        String text = "schemaVersion: 1\nteam: drafts\nworkspaces: []\nroutes: []\nexperts: {skewWeight: " + weight
                + ", moveWeight: 1}\n";
        Files.writeString(directory.resolve("drafts.yaml"), text);
        run("publish --log LOG --base " + base + " --operator " + operator
                + " --reason test --timeout-seconds 5 DIR/drafts.yaml");
    }

    private void watch(long version) {
        run("watch --entry ENTRY --team drafts --at-least " + version);
    }

    /** Returns the output without the progress lines of {@code watch}, which depend on timing. */
    private String transcript() {
        return bytes.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.contains(", lagging: "))
                .collect(Collectors.joining("\n"));
    }

    @Test
    void testPublishWithConflictOutageAndNewInstance() throws IOException {
        start(1, "sul-a");
        start(2, "sul-b");
        start(3, "sul-a");
        awaitEntryCount(3);
        printHeading("a first document takes effect everywhere");
        publish("none", "ana", 1);
        watch(0);
        awaitSnapshot();
        printHeading("two operators change the same version");
        log.loseResponses(1);
        publish("0", "bruno", 2);
        publish("0", "ana", 3);
        printHeading("the platform's log is down: what is in force stays, and a new instance starts from its peers");
        log.setDown(true);
        publish("2", "ana", 3);
        start(4, "sul-b");
        awaitEntryCount(4);
        watch(2);
        printHeading("the log is back");
        log.setDown(false);
        run("history --log LOG --team drafts");
        Approvals.verify(transcript());
    }

    @Test
    void testInstanceRestartsFromTruncatedLog() throws IOException {
        start(1, "sul-a");
        awaitEntryCount(1);
        publish("none", "ana", 1);
        awaitSnapshot();
        entries.remove(0).close();
        log.truncateBefore(1);
        start(1, "sul-a");
        awaitEntryCount(1);
        watch(0);
        assertTrue(transcript().contains("in force on 1 of 1"));
    }
}

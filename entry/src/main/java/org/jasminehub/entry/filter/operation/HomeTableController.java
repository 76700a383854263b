package org.jasminehub.entry.filter.operation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.membership.TargetKind;
import org.jasminehub.core.operation.AgentIncarnation;
import org.jasminehub.core.operation.HomeLogRecord;
import org.jasminehub.core.operation.HomeTable;
import org.jasminehub.core.operation.HomeTableChange;
import org.jasminehub.core.operation.HomeTableReplay;
import org.jasminehub.core.operation.OperationMessage;
import org.jasminehub.core.operation.OperationMessageCodec;
import org.jasminehub.entry.control.ControlThread;
import org.jasminehub.entry.endpoint.EndpointDirectory;
import org.jasminehub.entry.endpoint.EndpointLink;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogRecord;
import org.jasminehub.platform.log.LogService;
import org.jspecify.annotations.Nullable;

/**
 * Reads the home tables from the log. The coordinator, which is the live entry instance with the smallest id, also
 * proposes changes, confirms the tables to agents and transfers handovers between agents.
 *
 * <p>It is harmless if two instances both act as coordinator, because the order of the log decides which of their
 * changes applies. All methods except {@link #current} must run on the control thread.
 */
public final class HomeTableController {
    private static final int MAX_RECORDS = 256;
    private static final int WAIT_MILLIS = 1_000;
    private static final int REPLY_TIMEOUT_MILLIS = 1_000;
    private static final int STABLE_ROUNDS = 2;

    private final InstanceId self;
    private final ControlThread control;
    private final LogService log;
    private final EndpointDirectory directory;
    private final HomeClient homeClient;
    private final HomeTableReplay replay = new HomeTableReplay();
    /** The monotonic time that each agent last reported, by its own clock. */
    private final Map<AgentIncarnation, Long> lastReportedMillis = new HashMap<>();
    /** The reported times to be confirmed when a mark is read back, by the nonce of the mark. */
    private final Map<String, Map<AgentIncarnation, Long>> pendingMarks = new HashMap<>();
    /** The agents that were connected in the last round, by service. */
    private final Map<String, List<AgentIncarnation>> lastConnected = new HashMap<>();
    /** The number of successive rounds without a change of the connected agents, by service. */
    private final Map<String, Integer> unchangedRounds = new HashMap<>();

    private volatile Map<String, List<HomeTable>> tables = Map.of();
    private long nextOffset;
    private boolean isReading;

    /** Creates the controller of the entry instance {@code self}. */
    public HomeTableController(InstanceId self, ControlThread control, LogService log, EndpointDirectory directory) {
        this.self = self;
        this.control = control;
        this.log = log;
        this.directory = directory;
        this.homeClient = new HomeClient(directory);
    }

    /** Returns the newest known home table of {@code service}. Thread-safe. */
    public Optional<HomeTable> current(String service) {
        List<HomeTable> known = tables.getOrDefault(service, List.of());
        return known.isEmpty() ? Optional.empty() : Optional.of(known.get(known.size() - 1));
    }

    /** Starts reading the log unless a read is in progress. */
    public void refresh() {
        if (!isReading) {
            isReading = true;
            log.read(nextOffset, MAX_RECORDS, WAIT_MILLIS).whenCompleteAsync(this::onRead, control);
        }
    }

    /** Runs one round of the coordinator's work if this instance is the coordinator. */
    public void coordinate() {
        List<Member> members = control.state().members();
        boolean isCoordinator = members.stream()
                .filter(member -> member.role() == MemberRole.ENTRY && member.isLive())
                .map(Member::id)
                .min(Comparator.naturalOrder())
                .filter(self::equals)
                .isPresent();
        if (!isCoordinator) {
            return;
        }
        Map<String, List<AgentIncarnation>> connected = connectedHomes(members);
        connected.forEach(this::proposeWhenStable);
        appendMark(connected);
    }

    private void onRead(@Nullable LogPage page, @Nullable Throwable failure) {
        isReading = false;
        if (page == null) {
            return;
        }
        page.records().forEach(this::apply);
        refresh();
    }

    private void apply(LogRecord logRecord) {
        nextOffset = logRecord.offset() + 1;
        Optional<HomeLogRecord> known =
                OperationMessageCodec.readRecord(new String(logRecord.payload(), StandardCharsets.UTF_8));
        known.ifPresent(record -> {
            if (replay.apply(record)) {
                tables = replay.all();
                lastReportedMillis.keySet().forEach(home -> sendTables(home, 0, 0));
            }
            Map<AgentIncarnation, Long> reportedTimes = pendingMarks.remove(record.nonce());
            if (reportedTimes != null) {
                reportedTimes.forEach(this::confirm);
            }
        });
    }

    private Map<String, List<AgentIncarnation>> connectedHomes(List<Member> members) {
        Map<String, List<AgentIncarnation>> found = new TreeMap<>();
        for (Member member : members) {
            for (Target target : member.serves()) {
                if (target.kind() == TargetKind.SERVICE) {
                    usable(member, target)
                            .ifPresent(home -> found.computeIfAbsent(target.name(), name -> new ArrayList<>())
                                    .add(home));
                }
            }
        }
        found.values().forEach(list -> list.sort(Comparator.comparing(AgentIncarnation::agent)));
        return found;
    }

    private Optional<AgentIncarnation> usable(Member member, Target target) {
        return directory.usable(target).stream()
                .filter(link -> link.id().value().equals(member.id().value()))
                .map(HomeTableController::homeOf)
                .findFirst();
    }

    private static AgentIncarnation homeOf(EndpointLink link) {
        return new AgentIncarnation(
                new InstanceId(link.id().value()), link.peer().getIncarnation());
    }

    /**
     * Proposes a table only after the same agents were connected for several rounds, so that a short disconnection does
     * not move keys to other homes.
     */
    private void proposeWhenStable(String service, List<AgentIncarnation> members) {
        boolean isSame = members.equals(lastConnected.put(service, members));
        int rounds = isSame ? unchangedRounds.merge(service, 1, Integer::sum) : 0;
        unchangedRounds.put(service, rounds);
        List<AgentIncarnation> currentMembers =
                current(service).map(HomeTable::members).orElse(List.of());
        if (rounds >= STABLE_ROUNDS && !currentMembers.equals(members)) {
            unchangedRounds.put(service, 0);
            append(HomeLogRecord.of(new HomeTableChange(service, replay.epoch(service), members), nonce()));
        }
    }

    /**
     * Appends a mark to the log. When the mark is read back, the table in force at that point of the log is confirmed
     * to the agents, with the time that each agent reported before the mark was written.
     */
    private void appendMark(Map<String, List<AgentIncarnation>> connected) {
        Set<AgentIncarnation> agents = new HashSet<>();
        connected.values().forEach(agents::addAll);
        tables.keySet().forEach(service -> current(service).ifPresent(table -> agents.addAll(table.members())));
        agents.forEach(home -> sendTables(home, 0, 0));
        lastReportedMillis.keySet().retainAll(agents);
        if (!lastReportedMillis.isEmpty()) {
            String nonce = nonce();
            pendingMarks.clear();
            pendingMarks.put(nonce, Map.copyOf(lastReportedMillis));
            append(HomeLogRecord.mark(nonce));
        }
    }

    private void confirm(AgentIncarnation home, long reportedMillis) {
        String service = serviceOf(home);
        sendTables(home, replay.epoch(service), reportedMillis);
    }

    private void sendTables(AgentIncarnation home, long confirmedEpoch, long confirmedMillis) {
        List<HomeTable> known = tables.getOrDefault(serviceOf(home), List.of());
        homeClient
                .send(
                        home,
                        new OperationMessage.ShowTables(known, confirmedEpoch, confirmedMillis),
                        REPLY_TIMEOUT_MILLIS)
                .thenAcceptAsync(reply -> onTablesNoted(home, reply), control);
    }

    private void onTablesNoted(AgentIncarnation home, OperationMessage reply) {
        if (reply instanceof OperationMessage.Noted noted) {
            lastReportedMillis.put(home, noted.nowMillis());
            noted.missingHandovers().forEach(old -> transferHandover(old, home));
        }
    }

    private void transferHandover(AgentIncarnation from, AgentIncarnation to) {
        Optional<HomeTable> table = current(serviceOf(to));
        if (table.isEmpty()) {
            return;
        }
        homeClient
                .send(from, new OperationMessage.AskHandover(table.get(), to), REPLY_TIMEOUT_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof OperationMessage.HandoverGivenUp given && given.handover() != null) {
                        homeClient.send(to, new OperationMessage.GiveHandover(given.handover()), REPLY_TIMEOUT_MILLIS);
                    }
                });
    }

    private String serviceOf(AgentIncarnation home) {
        return control.state().members().stream()
                .filter(member -> member.id().equals(home.agent()))
                .flatMap(member -> member.serves().stream())
                .map(Target::name)
                .findFirst()
                .orElse("");
    }

    private void append(HomeLogRecord logRecord) {
        log.append(OperationMessageCodec.writeRecord(logRecord).getBytes(StandardCharsets.UTF_8));
    }

    private static String nonce() {
        return UUID.randomUUID().toString();
    }
}

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
 * Follows the tables of homes on the log; the first live entry instance also proposes changes, confirms the tables to
 * agents and carries handovers between them.
 *
 * <p>Two instances that both think they are first do no harm: the log's order decides between their changes. All
 * methods but {@link #current} run on the control thread.
 */
public final class HomeTableController {
    private static final int MAX_RECORDS = 256;
    private static final int WAIT_MILLIS = 1_000;
    private static final int REPLY_MILLIS = 1_000;
    private static final int ROUNDS_TO_SETTLE = 2;

    private final InstanceId self;
    private final ControlThread control;
    private final LogService log;
    private final EndpointDirectory directory;
    private final HomeLink homes;
    private final HomeTableReplay replay = new HomeTableReplay();
    private final Map<AgentIncarnation, Long> seenMillis = new HashMap<>();
    private final Map<String, Map<AgentIncarnation, Long>> marks = new HashMap<>();
    private final Map<String, List<AgentIncarnation>> wanted = new HashMap<>();
    private final Map<String, Integer> wantedRounds = new HashMap<>();
    private volatile Map<String, List<HomeTable>> tables = Map.of();
    private long nextOffset;
    private boolean isReading;

    /** Creates a controller of the entry instance {@code self}. */
    public HomeTableController(InstanceId self, ControlThread control, LogService log, EndpointDirectory directory) {
        this.self = self;
        this.control = control;
        this.log = log;
        this.directory = directory;
        this.homes = new HomeLink(directory);
    }

    /** Returns the newest table known of {@code service}; safe for use by several threads. */
    public Optional<HomeTable> current(String service) {
        List<HomeTable> known = tables.getOrDefault(service, List.of());
        return known.isEmpty() ? Optional.empty() : Optional.of(known.get(known.size() - 1));
    }

    /** Reads on unless a read is under way. */
    public void refresh() {
        if (!isReading) {
            isReading = true;
            log.read(nextOffset, MAX_RECORDS, WAIT_MILLIS).whenCompleteAsync(this::onRead, control);
        }
    }

    /** Does one round of the first instance's work, where this is the first. */
    public void keep() {
        List<Member> members = control.state().members();
        boolean isFirst = members.stream()
                .filter(member -> member.role() == MemberRole.ENTRY && member.isLive())
                .map(Member::id)
                .min(Comparator.naturalOrder())
                .filter(self::equals)
                .isPresent();
        if (!isFirst) {
            return;
        }
        Map<String, List<AgentIncarnation>> connected = connectedHomes(members);
        connected.forEach(this::proposeWhenSettled);
        mark(connected);
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
                seenMillis.keySet().forEach(home -> show(home, 0, 0));
            }
            Map<AgentIncarnation, Long> confirmed = marks.remove(record.nonce());
            if (confirmed != null) {
                confirmed.forEach(this::confirm);
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

    /** Proposes a table only when the same agents have been seen for a while, so that a short cut moves no keys. */
    private void proposeWhenSettled(String service, List<AgentIncarnation> members) {
        boolean isSame = members.equals(wanted.put(service, members));
        int rounds = isSame ? wantedRounds.merge(service, 1, Integer::sum) : 0;
        wantedRounds.put(service, rounds);
        List<AgentIncarnation> present =
                current(service).map(HomeTable::members).orElse(List.of());
        if (rounds >= ROUNDS_TO_SETTLE && !present.equals(members)) {
            wantedRounds.put(service, 0);
            append(HomeLogRecord.of(new HomeTableChange(service, replay.epoch(service), members), nonce()));
        }
    }

    /** Marks a point of the log; what agents said before it is confirmed when the mark is read. */
    private void mark(Map<String, List<AgentIncarnation>> connected) {
        Set<AgentIncarnation> asked = new HashSet<>();
        connected.values().forEach(asked::addAll);
        tables.keySet().forEach(service -> current(service).ifPresent(table -> asked.addAll(table.members())));
        asked.forEach(home -> show(home, 0, 0));
        seenMillis.keySet().retainAll(asked);
        if (!seenMillis.isEmpty()) {
            String nonce = nonce();
            marks.clear();
            marks.put(nonce, Map.copyOf(seenMillis));
            append(HomeLogRecord.mark(nonce));
        }
    }

    private void confirm(AgentIncarnation home, long saidMillis) {
        String service = serviceOf(home);
        show(home, replay.epoch(service), saidMillis);
    }

    private void show(AgentIncarnation home, long confirmedEpoch, long confirmedMillis) {
        List<HomeTable> known = tables.getOrDefault(serviceOf(home), List.of());
        homes.ask(home, new OperationMessage.ShowTables(known, confirmedEpoch, confirmedMillis), REPLY_MILLIS)
                .thenAcceptAsync(reply -> onNoted(home, reply), control);
    }

    private void onNoted(AgentIncarnation home, OperationMessage reply) {
        if (reply instanceof OperationMessage.Noted noted) {
            seenMillis.put(home, noted.nowMillis());
            noted.missingHandovers().forEach(old -> carryHandover(old, home));
        }
    }

    private void carryHandover(AgentIncarnation from, AgentIncarnation to) {
        Optional<HomeTable> table = current(serviceOf(to));
        if (table.isEmpty()) {
            return;
        }
        homes.ask(from, new OperationMessage.AskHandover(table.get(), to), REPLY_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof OperationMessage.HandoverGivenUp given && given.handover() != null) {
                        homes.ask(to, new OperationMessage.GiveHandover(given.handover()), REPLY_MILLIS);
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

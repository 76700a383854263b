package org.jasminehub.core.operation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The tables of homes that an agent has learnt, and whether an earlier home of a key may still run it.
 *
 * <p>A key is settled here once the home before this one has handed it over, or has been out of the table for the
 * quarantine time. Not safe for use by several threads.
 */
final class TableHistory {
    private static final long FIRST_EPOCH = 1;

    private record LearnedTable(HomeTable table, long learnedMillis) {}

    private record OpenUntil(OpenQuarantine quarantine, long untilMillis) {}

    private record ReceivedHandover(long sealedEpoch, List<OpenUntil> open) {}

    private final AgentIncarnation self;
    private final long quarantineMillis;
    private final List<LearnedTable> tables = new ArrayList<>();
    private final Map<AgentIncarnation, ReceivedHandover> handovers = new HashMap<>();
    private boolean isComplete;

    TableHistory(AgentIncarnation self, long quarantineMillis) {
        this.self = self;
        this.quarantineMillis = quarantineMillis;
    }

    long epoch() {
        return tables.isEmpty() ? 0 : last().table().epoch();
    }

    Optional<HomeTable> current() {
        return tables.isEmpty() ? Optional.empty() : Optional.of(last().table());
    }

    boolean learn(HomeTable table, long nowMillis) {
        if (table.epoch() <= epoch()) {
            return false;
        }
        if (tables.isEmpty() || table.epoch() != epoch() + 1) {
            tables.clear();
            isComplete = table.epoch() == FIRST_EPOCH;
        }
        tables.add(new LearnedTable(table, nowMillis));
        prune(nowMillis);
        return true;
    }

    void receive(Handover handover, long nowMillis) {
        List<OpenUntil> open = handover.quarantines().stream()
                .map(quarantine -> new OpenUntil(quarantine, nowMillis + quarantine.remainingMillis()))
                .toList();
        handovers.put(handover.from(), new ReceivedHandover(handover.sealedEpoch(), open));
    }

    boolean isSettled(OperationId id, long nowMillis) {
        for (int i = tables.size() - 2; i >= 0; i--) {
            HomeTable table = tables.get(i).table();
            AgentIncarnation home = table.home(id).orElse(self);
            if (home.equals(self)) {
                continue;
            }
            ReceivedHandover handover = handoverCovering(home, table.epoch());
            if (handover != null) {
                return handover.open().stream()
                        .noneMatch(open -> open.untilMillis() > nowMillis
                                && !isAnswered(open)
                                && open.quarantine().covers(id));
            }
            return remainingMillis(i, nowMillis) <= 0;
        }
        return isComplete || remainingOfUnknownPast(nowMillis) <= 0;
    }

    /** Returns the incarnations whose handover would settle keys here. */
    Set<AgentIncarnation> missingHandovers(long nowMillis) {
        Set<AgentIncarnation> missing = new LinkedHashSet<>();
        for (int i = 0; i < tables.size() - 1; i++) {
            if (remainingMillis(i, nowMillis) > 0) {
                missing.addAll(withoutHandover(tables.get(i).table()));
            }
        }
        return missing;
    }

    List<OpenQuarantine> openQuarantines(long nowMillis) {
        List<OpenQuarantine> open = new ArrayList<>();
        for (int i = 0; i < tables.size() - 1; i++) {
            long remainingMillis = remainingMillis(i, nowMillis);
            HomeTable table = tables.get(i).table();
            if (remainingMillis > 0) {
                withoutHandover(table).forEach(home -> open.add(new OpenQuarantine(table, home, remainingMillis)));
            }
        }
        for (ReceivedHandover handover : handovers.values()) {
            handover.open().stream()
                    .filter(inherited -> inherited.untilMillis() > nowMillis && !isAnswered(inherited))
                    .map(inherited -> new OpenQuarantine(
                            inherited.quarantine().table(),
                            inherited.quarantine().home(),
                            inherited.untilMillis() - nowMillis))
                    .forEach(open::add);
        }
        if (!isComplete && !tables.isEmpty() && remainingOfUnknownPast(nowMillis) > 0) {
            open.add(new OpenQuarantine(last().table(), null, remainingOfUnknownPast(nowMillis)));
        }
        return open;
    }

    /**
     * Returns whether this agent needs no quarantine of another's telling: it knows what it ran itself, and what a home
     * ran that has handed over to it since.
     */
    private boolean isAnswered(OpenUntil open) {
        AgentIncarnation home = open.quarantine().home();
        return home != null
                && (home.equals(self)
                        || handoverCovering(home, open.quarantine().table().epoch()) != null);
    }

    private List<AgentIncarnation> withoutHandover(HomeTable table) {
        return table.members().stream()
                .filter(member -> !member.equals(self))
                .filter(member -> handoverCovering(member, table.epoch()) == null)
                .toList();
    }

    private @Nullable ReceivedHandover handoverCovering(AgentIncarnation home, long epoch) {
        ReceivedHandover handover = handovers.get(home);
        return handover != null && handover.sealedEpoch() > epoch ? handover : null;
    }

    private long remainingMillis(int index, long nowMillis) {
        return tables.get(index + 1).learnedMillis() + quarantineMillis - nowMillis;
    }

    private long remainingOfUnknownPast(long nowMillis) {
        return tables.isEmpty() ? quarantineMillis : tables.get(0).learnedMillis() + quarantineMillis - nowMillis;
    }

    private void prune(long nowMillis) {
        while (tables.size() > 1 && remainingMillis(0, nowMillis) <= 0) {
            tables.remove(0);
            isComplete = true;
        }
    }

    private LearnedTable last() {
        return tables.get(tables.size() - 1);
    }
}

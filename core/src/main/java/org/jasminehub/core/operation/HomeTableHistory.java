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
 * The home tables that an agent has received, from which it determines whether a previous home of a key may still run
 * an operation.
 *
 * <p>A key is settled once its previous home has handed it over and no quarantine passed on with the handover covers
 * it. Without a handover, it is settled once the quarantine time has passed since the table that moved the key was
 * received. Not thread-safe.
 */
final class HomeTableHistory {
    private static final long FIRST_EPOCH = 1;

    private record LearnedTable(HomeTable table, long learnedMillis) {}

    private record InheritedQuarantine(OpenQuarantine quarantine, long untilMillis) {}

    private record ReceivedHandover(long sealedEpoch, List<InheritedQuarantine> open) {}

    private final AgentIncarnation self;
    private final long quarantineMillis;
    private final List<LearnedTable> tables = new ArrayList<>();
    private final Map<AgentIncarnation, ReceivedHandover> handovers = new HashMap<>();

    /** Whether every earlier table is known under which a home may still run an operation. */
    private boolean isComplete;

    HomeTableHistory(AgentIncarnation self, long quarantineMillis) {
        this.self = self;
        this.quarantineMillis = quarantineMillis;
    }

    long epoch() {
        return tables.isEmpty() ? 0 : last().table().epoch();
    }

    Optional<HomeTable> current() {
        return tables.isEmpty() ? Optional.empty() : Optional.of(last().table());
    }

    /** Adds a table; returns false if it is not newer than the current one. */
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
        List<InheritedQuarantine> open = handover.quarantines().stream()
                .map(quarantine -> new InheritedQuarantine(quarantine, nowMillis + quarantine.remainingMillis()))
                .toList();
        handovers.put(handover.from(), new ReceivedHandover(handover.sealedEpoch(), open));
    }

    /** Returns whether no previous home can still run the operation {@code id}. */
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
                                && !isSuperseded(open)
                                && open.quarantine().covers(id));
            }
            return remainingMillis(i, nowMillis) <= 0;
        }
        return isComplete || remainingForUnknownTables(nowMillis) <= 0;
    }

    /** Returns the incarnations from which a handover would end a quarantine. */
    Set<AgentIncarnation> missingHandovers(long nowMillis) {
        Set<AgentIncarnation> missing = new LinkedHashSet<>();
        for (int i = 0; i < tables.size() - 1; i++) {
            if (remainingMillis(i, nowMillis) > 0) {
                missing.addAll(membersWithoutHandover(tables.get(i).table()));
            }
        }
        return missing;
    }

    /** Returns the quarantines that a handover must pass on to the next home. */
    List<OpenQuarantine> openQuarantines(long nowMillis) {
        List<OpenQuarantine> open = new ArrayList<>();
        for (int i = 0; i < tables.size() - 1; i++) {
            long remainingMillis = remainingMillis(i, nowMillis);
            HomeTable table = tables.get(i).table();
            if (remainingMillis > 0) {
                membersWithoutHandover(table)
                        .forEach(home -> open.add(new OpenQuarantine(table, home, remainingMillis)));
            }
        }
        for (ReceivedHandover handover : handovers.values()) {
            handover.open().stream()
                    .filter(inherited -> inherited.untilMillis() > nowMillis && !isSuperseded(inherited))
                    .map(inherited -> new OpenQuarantine(
                            inherited.quarantine().table(),
                            inherited.quarantine().home(),
                            inherited.untilMillis() - nowMillis))
                    .forEach(open::add);
        }
        if (!isComplete && !tables.isEmpty() && remainingForUnknownTables(nowMillis) > 0) {
            open.add(new OpenQuarantine(last().table(), null, remainingForUnknownTables(nowMillis)));
        }
        return open;
    }

    /**
     * Returns whether an inherited quarantine has no effect at this agent, because the quarantined home is this agent
     * itself or has handed its keys over to this agent since.
     */
    private boolean isSuperseded(InheritedQuarantine open) {
        AgentIncarnation home = open.quarantine().home();
        return home != null
                && (home.equals(self)
                        || handoverCovering(home, open.quarantine().table().epoch()) != null);
    }

    private List<AgentIncarnation> membersWithoutHandover(HomeTable table) {
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

    private long remainingForUnknownTables(long nowMillis) {
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

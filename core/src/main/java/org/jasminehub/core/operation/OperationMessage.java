package org.jasminehub.core.operation;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** What entry instances and agents say to each other about operations. */
@JsonTypeInfo(use = JsonTypeInfo.Id.MINIMAL_CLASS)
public sealed interface OperationMessage {
    /** Asks an agent for a ticket; answered by {@link Decided}. */
    record AskTicket(OperationId id, String bodyDigest) implements OperationMessage {}

    /** Asks an agent to revoke an operation; answered by {@link Decided}. */
    record AskRevocation(OperationId id, String bodyDigest) implements OperationMessage {}

    /** Asks an agent for a key of its own; answered by {@link KeyIssued}. */
    record AskKey() implements OperationMessage {}

    /** Asks an old home for the keys that {@code table} moves to {@code to}; answered by {@link HandoverGivenUp}. */
    record AskHandover(HomeTable table, AgentIncarnation to) implements OperationMessage {}

    /** Gives a new home what its old home handed over; answered by {@link Noted}. */
    record GiveHandover(Handover handover) implements OperationMessage {}

    /**
     * Shows an agent the tables of its service; answered by {@link Noted}.
     *
     * @param tables the tables that the sender knows, oldest first
     * @param confirmedEpoch the table in force at a point of the log written after {@code confirmedMillis}, or 0
     * @param confirmedMillis a time that the agent gave in an earlier {@link Noted}
     */
    record ShowTables(List<HomeTable> tables, long confirmedEpoch, long confirmedMillis) implements OperationMessage {}

    /** An agent's decision. */
    record Decided(GuardDecision decision) implements OperationMessage {}

    /** A key that an agent issued. */
    record KeyIssued(String key) implements OperationMessage {}

    /** What an old home gave up; null where it knows a newer table. */
    record HandoverGivenUp(@Nullable Handover handover) implements OperationMessage {}

    /**
     * An agent took note.
     *
     * @param nowMillis the agent's monotonic time
     * @param missingHandovers the old homes that it still needs a handover from
     */
    record Noted(long nowMillis, List<AgentIncarnation> missingHandovers) implements OperationMessage {}
}

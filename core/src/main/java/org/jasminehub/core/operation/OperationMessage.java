package org.jasminehub.core.operation;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A message between entry instances and agents that concerns operations. */
@JsonTypeInfo(use = JsonTypeInfo.Id.MINIMAL_CLASS)
public sealed interface OperationMessage {
    /** Requests a ticket from an agent; the reply is {@link Decided}. */
    record AskTicket(OperationId id, String bodyDigest) implements OperationMessage {}

    /** Requests that an agent revoke an operation; the reply is {@link Decided}. */
    record AskRevocation(OperationId id, String bodyDigest) implements OperationMessage {}

    /** Requests a {@link BoundKey} from an agent; the reply is {@link KeyIssued}. */
    record AskKey() implements OperationMessage {}

    /** Requests a handover of the keys that {@code table} moves to {@code to}; the reply is {@link HandoverGivenUp}. */
    record AskHandover(HomeTable table, AgentIncarnation to) implements OperationMessage {}

    /** Delivers a handover to the new home; the reply is {@link Noted}. */
    record GiveHandover(Handover handover) implements OperationMessage {}

    /**
     * Sends an agent the home tables of its service; the reply is {@link Noted}.
     *
     * @param tables the tables that the sender knows, oldest first
     * @param confirmedEpoch the epoch of the table in force at a log position that was written after {@code
     *     confirmedMillis}, or 0 if the message confirms no table
     * @param confirmedMillis the time that the agent reported in an earlier {@link Noted}
     */
    record ShowTables(List<HomeTable> tables, long confirmedEpoch, long confirmedMillis) implements OperationMessage {}

    /** Contains an agent's decision. */
    record Decided(GuardDecision decision) implements OperationMessage {}

    /** Contains a key that an agent issued. */
    record KeyIssued(String key) implements OperationMessage {}

    /** Contains the previous home's handover, or null if the previous home knows a newer table. */
    record HandoverGivenUp(@Nullable Handover handover) implements OperationMessage {}

    /**
     * Acknowledges a message.
     *
     * @param nowMillis the monotonic time of the agent
     * @param missingHandovers the previous homes from which the agent still needs a handover
     */
    record Noted(long nowMillis, List<AgentIncarnation> missingHandovers) implements OperationMessage {}
}

package org.jasminehub.core.operation;

import java.util.Optional;
import java.util.function.Supplier;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * The state machine by which an entry instance obtains the final answer to a caller's request for an operation.
 *
 * <p>Only the key's home is asked. The answer is "not run" only if the home has confirmed it; if the home cannot be
 * reached, the answer is "unknown". Each method handles one event and returns the next step; after
 * {@link OperationStep.AnswerCaller}, further events have no effect.
 *
 * <pre>{@code
 * OperationStep step = call.begin();
 * step = call.onTicketReply(reply);
 * }</pre>
 *
 * <p>Arguments must not be null. Not thread-safe.
 */
public final class OperationCall {
    private static final int MAX_HOMES_ASKED = 3;

    private enum Phase {
        NEW,
        TICKET,
        SENT,
        REVOCATION,
        ANSWERED
    }

    private final OperationId id;
    private final long deadlineMillis;
    private final Supplier<Optional<HomeTable>> tables;
    private final Clock clock;
    private final EventSink events;
    private Phase phase = Phase.NEW;
    private @Nullable AgentIncarnation home;
    private @Nullable ErrorCode refusal;
    private @Nullable OperationStep finalStep;
    private long askedEpoch;
    private int homesAsked;

    /**
     * Creates the call for a request that has just arrived.
     *
     * @param id the operation
     * @param deadlineMillis the deadline of the request, by the monotonic time of {@code clock}
     * @param tables supplies the newest home table that this instance knows
     */
    public OperationCall(
            OperationId id, long deadlineMillis, Supplier<Optional<HomeTable>> tables, Clock clock, EventSink events) {
        this.id = id;
        this.deadlineMillis = deadlineMillis;
        this.tables = tables;
        this.clock = clock;
        this.events = events;
    }

    /** Starts the call by requesting a ticket from the home. */
    public OperationStep begin() {
        phase = Phase.TICKET;
        return askNextHome();
    }

    /**
     * Starts the call of a request that this instance refuses with {@code code}. The home must revoke the operation
     * before the caller may be told that it has not run.
     */
    public OperationStep beginRefused(ErrorCode code) {
        phase = Phase.REVOCATION;
        refusal = code;
        return askNextHome();
    }

    /** Handles the home's reply to the ticket request. */
    public OperationStep onTicketReply(GuardDecision reply) {
        if (phase != Phase.TICKET) {
            return currentStep();
        }
        if (reply instanceof GuardDecision.TicketGranted granted) {
            return isPastDeadline() ? answerUnknown(ErrorCode.DEADLINE_EXCEEDED) : send(granted.ticket());
        }
        return onFinalReply(reply);
    }

    /** Handles the home's answer to the request. */
    public OperationStep onAnswer(GuardDecision reply) {
        return phase == Phase.SENT ? onFinalReply(reply) : currentStep();
    }

    /** Handles the home's reply to the revocation request. */
    public OperationStep onRevocationReply(GuardDecision reply) {
        return phase == Phase.REVOCATION ? onFinalReply(reply) : currentStep();
    }

    /**
     * Handles the failure to reach the home, or the loss of the connection to it. If the request has been sent and the
     * deadline has not passed, asks the home to revoke the operation; otherwise the answer is "unknown".
     */
    public OperationStep onHomeLost() {
        if (phase == Phase.SENT && home != null && !isPastDeadline()) {
            phase = Phase.REVOCATION;
            refusal = ErrorCode.ENDPOINT_FAILED;
            return new OperationStep.RequestRevocation(home);
        }
        return answerUnknown(ErrorCode.OUTCOME_UNKNOWN);
    }

    /**
     * Handles a refusal of the request by another filter of the home. The refusal concerns only this attempt: an
     * earlier attempt may have run, so the home is asked to revoke the operation.
     */
    public OperationStep onRequestRefused(ErrorCode code) {
        OperationStep step = onHomeLost();
        if (step instanceof OperationStep.RequestRevocation) {
            refusal = code;
        }
        return step;
    }

    /** Handles the expiry of the deadline. */
    public OperationStep onDeadlineExceeded() {
        return answerUnknown(ErrorCode.DEADLINE_EXCEEDED);
    }

    private OperationStep send(OperationTicket ticket) {
        phase = Phase.SENT;
        return new OperationStep.SendRequest(ticket);
    }

    private OperationStep onFinalReply(GuardDecision reply) {
        if (reply instanceof GuardDecision.Answered answered) {
            return concludeWith(answered.answer());
        }
        if (reply instanceof GuardDecision.WrongHome) {
            phase = phase == Phase.SENT ? Phase.TICKET : phase;
            return askNextHome();
        }
        return answerUnknown(ErrorCode.OUTCOME_UNKNOWN);
    }

    private OperationStep askNextHome() {
        Optional<AgentIncarnation> next = BoundKey.parse(id.key()).map(BoundKey::issuer);
        if (next.isEmpty()) {
            Optional<HomeTable> table = tables.get().filter(newest -> newest.epoch() > askedEpoch);
            askedEpoch = table.map(HomeTable::epoch).orElse(askedEpoch);
            next = table.flatMap(newest -> newest.home(id));
        }
        if (next.isEmpty() || homesAsked == MAX_HOMES_ASKED || isPastDeadline()) {
            return answerUnknown(ErrorCode.NOT_READY);
        }
        home = next.get();
        homesAsked++;
        return phase == Phase.REVOCATION
                ? new OperationStep.RequestRevocation(home)
                : new OperationStep.RequestTicket(home);
    }

    /**
     * After the deadline "not run" is not reliable: the home may have run the operation and expired its record since.
     */
    private OperationStep concludeWith(OperationAnswer answer) {
        if (answer.outcome() != Outcome.NOT_RUN) {
            return answer(answer);
        }
        if (isPastDeadline()) {
            return answerUnknown(ErrorCode.DEADLINE_EXCEEDED);
        }
        return answer(refusal == null ? answer : OperationAnswer.notRun(refusal));
    }

    private OperationStep answerUnknown(ErrorCode code) {
        return answer(OperationAnswer.unknown(code));
    }

    private OperationStep answer(OperationAnswer answer) {
        if (finalStep == null) {
            phase = Phase.ANSWERED;
            finalStep = new OperationStep.AnswerCaller(answer);
            String code = answer.code() == null ? "" : answer.code().code();
            events.emit(new OperationConcluded(id.toString(), answer.outcome().label(), code, homesAsked));
        }
        return finalStep;
    }

    private OperationStep currentStep() {
        return finalStep == null ? new OperationStep.Wait() : finalStep;
    }

    private boolean isPastDeadline() {
        return clock.monotonicMillis() >= deadlineMillis;
    }
}

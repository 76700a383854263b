package org.jasminehub.core.operation;

import java.util.Optional;
import java.util.function.Supplier;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Leads one caller's request for an operation to its final answer, in an entry instance.
 *
 * <p>It asks the key's home and nobody else. It says "not run" only where the home has proved it; where the home cannot
 * be asked, the answer is "unknown" at once. Each method takes one event and returns what to do next; after
 * {@link OperationStep.AnswerCaller} no further event changes anything.
 *
 * <pre>{@code
 * OperationStep step = call.begin();
 * step = call.takeTicketReply(reply);
 * }</pre>
 *
 * <p>Arguments must not be null. Not safe for use by several threads.
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
     * Creates the call of a request that has just arrived.
     *
     * @param id the operation
     * @param deadlineMillis when its answer is of no use any more, by {@code clock}'s monotonic time
     * @param tables gives the newest table of homes that this instance knows
     */
    public OperationCall(
            OperationId id, long deadlineMillis, Supplier<Optional<HomeTable>> tables, Clock clock, EventSink events) {
        this.id = id;
        this.deadlineMillis = deadlineMillis;
        this.tables = tables;
        this.clock = clock;
        this.events = events;
    }

    /** Starts the call. */
    public OperationStep begin() {
        phase = Phase.TICKET;
        return askNextHome();
    }

    /** Starts a call that this instance refuses for {@code code}: the home must prove that it has not run. */
    public OperationStep beginRefused(ErrorCode code) {
        phase = Phase.REVOCATION;
        refusal = code;
        return askNextHome();
    }

    /** Takes the home's decision about a ticket. */
    public OperationStep takeTicketReply(GuardDecision reply) {
        if (phase != Phase.TICKET) {
            return current();
        }
        if (reply instanceof GuardDecision.TicketGranted granted) {
            return isLate() ? answerUnknown(ErrorCode.DEADLINE_EXCEEDED) : send(granted.ticket());
        }
        return takeFinal(reply);
    }

    /** Takes the home's answer to the request itself. */
    public OperationStep takeAnswer(GuardDecision reply) {
        return phase == Phase.SENT ? takeFinal(reply) : current();
    }

    /** Takes the home's answer to a revocation. */
    public OperationStep takeRevocationReply(GuardDecision reply) {
        return phase == Phase.REVOCATION ? takeFinal(reply) : current();
    }

    /** Takes the news that the home cannot be reached, or that the connection to it was lost. */
    public OperationStep takeLoss() {
        if (phase == Phase.SENT && home != null && !isLate()) {
            phase = Phase.REVOCATION;
            refusal = ErrorCode.ENDPOINT_FAILED;
            return new OperationStep.RequestRevocation(home);
        }
        return answerUnknown(ErrorCode.OUTCOME_UNKNOWN);
    }

    /** Takes a refusal of the request by another step at the home, which proves nothing of earlier attempts. */
    public OperationStep takeRefusal(ErrorCode code) {
        OperationStep step = takeLoss();
        if (step instanceof OperationStep.RequestRevocation) {
            refusal = code;
        }
        return step;
    }

    /** Takes the passing of the deadline. */
    public OperationStep takeDeadline() {
        return answerUnknown(ErrorCode.DEADLINE_EXCEEDED);
    }

    private OperationStep send(OperationTicket ticket) {
        phase = Phase.SENT;
        return new OperationStep.SendRequest(ticket);
    }

    private OperationStep takeFinal(GuardDecision reply) {
        if (reply instanceof GuardDecision.Answered answered) {
            return takeProof(answered.answer());
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
        if (next.isEmpty() || homesAsked == MAX_HOMES_ASKED || isLate()) {
            return answerUnknown(ErrorCode.NOT_READY);
        }
        home = next.get();
        homesAsked++;
        return phase == Phase.REVOCATION
                ? new OperationStep.RequestRevocation(home)
                : new OperationStep.RequestTicket(home);
    }

    /** After the deadline "not run" proves nothing: the home may have run the operation and forgotten it since. */
    private OperationStep takeProof(OperationAnswer answer) {
        if (answer.outcome() != Outcome.NOT_RUN) {
            return answer(answer);
        }
        if (isLate()) {
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

    private OperationStep current() {
        return finalStep == null ? new OperationStep.Wait() : finalStep;
    }

    private boolean isLate() {
        return clock.monotonicMillis() >= deadlineMillis;
    }
}

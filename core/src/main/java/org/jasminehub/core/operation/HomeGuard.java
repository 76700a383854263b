package org.jasminehub.core.operation;

import java.util.Optional;
import java.util.Set;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Lets an agent run each operation of its service at most once and says truthfully what is known of it.
 *
 * <p>An operation starts here only under an unexpired ticket of this incarnation, while this agent is the key's home
 * by a table that it confirmed within its lease, and once no earlier home can run it any more. Whatever it says "not
 * run" of, it remembers and never starts.
 *
 * <pre>{@code
 * GuardDecision decision = guard.start(ticket, id, bodyDigest);
 * if (decision instanceof GuardDecision.RunNow) {
 *     callService(...);
 * }
 * }</pre>
 *
 * <p>Arguments must not be null. Not safe for use by several threads.
 */
public final class HomeGuard {
    private final AgentIncarnation self;
    private final String service;
    private final OperationTimes times;
    private final Clock clock;
    private final EventSink events;
    private final OperationLedger ledger;
    private final TableHistory history;
    private long leaseUntilMillis;
    private long lastSerial;

    /** Creates the guard of a process that has just started and remembers nothing. */
    public HomeGuard(
            AgentIncarnation self,
            String service,
            OperationTimes times,
            LedgerLimits limits,
            Clock clock,
            EventSink events) {
        this.self = self;
        this.service = service;
        this.times = times;
        this.clock = clock;
        this.events = events;
        this.ledger = new OperationLedger(limits, times.retentionMillis());
        this.history = new TableHistory(self, times.quarantineMillis());
        this.leaseUntilMillis = clock.monotonicMillis();
    }

    /** Returns a fresh key that only this incarnation runs. */
    public BoundKey issueKey() {
        lastSerial++;
        return new BoundKey(self, clock.monotonicMillis(), lastSerial);
    }

    /** Takes a table read from the log; older ones and repeats change nothing. */
    public void learn(HomeTable table) {
        if (history.learn(table, clock.monotonicMillis())) {
            events.emit(new HomeTableLearned(
                    service, self.toString(), table.epoch(), table.members().size()));
        }
    }

    /**
     * Renews the lease, given proof that the table of {@code epoch} was in force at a point of the log that was
     * written after {@code askedMillis} by this agent's monotonic clock.
     */
    public void confirm(long epoch, long askedMillis) {
        if (epoch == history.epoch()) {
            leaseUntilMillis = Math.max(leaseUntilMillis, askedMillis + times.leaseMillis());
        }
    }

    /** Decides whether a request may be started here, before it is sent. */
    public GuardDecision requestTicket(OperationId id, String bodyDigest) {
        long nowMillis = clock.monotonicMillis();
        Optional<OperationRecord> known = ledger.find(id, nowMillis);
        if (known.isPresent() && !isRunningSame(known.get(), bodyDigest)) {
            return answerKnown(known.get(), bodyDigest);
        }
        GuardDecision refusal = known.isPresent() ? null : refuseUnlessHome(id, nowMillis);
        if (refusal != null) {
            return refusal;
        }
        return new GuardDecision.TicketGranted(new OperationTicket(self, id, nowMillis + times.ticketMillis()));
    }

    /** Decides whether the request must now be given to the service. */
    public GuardDecision start(OperationTicket ticket, String bodyDigest) {
        long nowMillis = clock.monotonicMillis();
        OperationId id = ticket.id();
        Optional<OperationRecord> known = ledger.find(id, nowMillis);
        if (known.isPresent()) {
            return isRunningSame(known.get(), bodyDigest)
                    ? new GuardDecision.AwaitRun(id)
                    : answerKnown(known.get(), bodyDigest);
        }
        if (!ticket.issuer().equals(self) || nowMillis > ticket.expiresMillis()) {
            return answer(id, OperationAnswer.unknown(ErrorCode.TICKET_INVALID));
        }
        GuardDecision refusal = refuseUnlessHome(id, nowMillis);
        if (refusal != null) {
            return refusal;
        }
        if (!ledger.hasRoomToRun()) {
            return answer(id, revokeUnknown(id, ErrorCode.OVERLOADED, nowMillis));
        }
        ledger.add(new OperationRecord(id, bodyDigest, OperationState.RUNNING, null, nowMillis));
        events.emit(new OperationStarted(id.toString(), self.toString(), history.epoch()));
        return new GuardDecision.RunNow(id);
    }

    /** Makes sure that the operation never runs, unless it has been started; the answer says which. */
    public GuardDecision revoke(OperationId id, String bodyDigest) {
        long nowMillis = clock.monotonicMillis();
        Optional<OperationRecord> known = ledger.find(id, nowMillis);
        if (known.isPresent()) {
            return answerKnown(known.get(), bodyDigest);
        }
        GuardDecision refusal = refuseUnlessHome(id, nowMillis);
        if (refusal != null) {
            return refusal;
        }
        return answer(id, revokeUnknown(id, ErrorCode.OPERATION_REVOKED, nowMillis));
    }

    /** Takes the service's answer. */
    public OperationAnswer finish(OperationId id, OperationResult result) {
        ledger.finish(id, result);
        events.emit(new OperationFinished(id.toString(), OperationState.DONE.name(), result.status()));
        return OperationAnswer.done(result);
    }

    /** Takes the news that the request reached the service or may have, and that its answer is lost. */
    public OperationAnswer loseAnswer(OperationId id) {
        ledger.doubt(id);
        events.emit(new OperationFinished(id.toString(), OperationState.IN_DOUBT.name(), 0));
        return OperationAnswer.unknown(ErrorCode.OUTCOME_UNKNOWN);
    }

    /** Takes the proof that no byte of the request reached the service. */
    public OperationAnswer failUnsent(OperationId id) {
        ledger.revokeUnsent(id);
        events.emit(new OperationFinished(id.toString(), OperationState.REVOKED.name(), 0));
        return OperationAnswer.notRun(ErrorCode.ENDPOINT_FAILED);
    }

    /** Returns the old homes that should be asked for a {@link Handover}. */
    public Set<AgentIncarnation> missingHandovers() {
        return history.missingHandovers(clock.monotonicMillis());
    }

    /**
     * Gives the keys that {@code table} moves to {@code to}; returns null where this agent knows a newer table, which
     * the asker must learn first.
     */
    public @Nullable Handover handOver(HomeTable table, AgentIncarnation to) {
        learn(table);
        if (table.epoch() != history.epoch()) {
            return null;
        }
        long nowMillis = clock.monotonicMillis();
        var records = ledger.matching(id -> !isBound(id) && table.isHome(to, id), nowMillis).stream()
                .map(operation -> operation.movedBy(nowMillis))
                .toList();
        events.emit(new HandoverGiven(service, self.toString(), to.toString(), table.epoch(), records.size()));
        return new Handover(self, to, table.epoch(), records, history.openQuarantines(nowMillis));
    }

    /** Takes an old home's handover; one for another incarnation or an older table is ignored. */
    public void receive(Handover handover) {
        if (!handover.to().equals(self) || handover.sealedEpoch() != history.epoch()) {
            return;
        }
        long nowMillis = clock.monotonicMillis();
        for (OperationRecord operation : handover.records()) {
            ledger.merge(operation.receivedAt(nowMillis));
        }
        history.receive(handover, nowMillis);
        events.emit(new HandoverTaken(service, self.toString(), handover.from().toString(), handover.sealedEpoch()));
    }

    private OperationAnswer revokeUnknown(OperationId id, ErrorCode code, long nowMillis) {
        if (!ledger.hasRoomToRevoke()) {
            return OperationAnswer.unknown(ErrorCode.OVERLOADED);
        }
        ledger.add(new OperationRecord(id, "", OperationState.REVOKED, null, nowMillis));
        return OperationAnswer.notRun(code);
    }

    private @Nullable GuardDecision refuseUnlessHome(OperationId id, long nowMillis) {
        if (ledger.isExpired(id)) {
            return answer(id, OperationAnswer.unknown(ErrorCode.IDEMPOTENCY_KEY_EXPIRED));
        }
        Optional<BoundKey> bound = BoundKey.parse(id.key());
        if (bound.isPresent()) {
            return refuseUnlessIssued(id, bound.get(), nowMillis);
        }
        Optional<HomeTable> table = history.current();
        if (table.isEmpty()) {
            return answer(id, OperationAnswer.unknown(ErrorCode.NOT_READY));
        }
        if (!table.get().isHome(self, id)) {
            return new GuardDecision.WrongHome(table.get().epoch());
        }
        if (nowMillis >= leaseUntilMillis || !history.isSettled(id, nowMillis)) {
            return answer(id, OperationAnswer.unknown(ErrorCode.HOME_UNSETTLED));
        }
        return null;
    }

    /** A bound key that is unknown here before it can have been forgotten has not run; later, that is not known. */
    private @Nullable GuardDecision refuseUnlessIssued(OperationId id, BoundKey key, long nowMillis) {
        if (!key.issuer().equals(self)) {
            return answer(id, OperationAnswer.unknown(ErrorCode.OUTCOME_UNKNOWN));
        }
        long ageMillis = nowMillis - key.issuedMillis();
        if (ageMillis < 0 || key.serial() > lastSerial) {
            return answer(id, OperationAnswer.notRun(ErrorCode.TICKET_INVALID));
        }
        if (ageMillis <= times.windowMillis()) {
            return null;
        }
        boolean canBeForgotten = ageMillis > times.retentionMillis();
        return answer(
                id,
                canBeForgotten
                        ? OperationAnswer.unknown(ErrorCode.IDEMPOTENCY_KEY_EXPIRED)
                        : OperationAnswer.notRun(ErrorCode.IDEMPOTENCY_KEY_EXPIRED));
    }

    private GuardDecision answerKnown(OperationRecord known, String bodyDigest) {
        if (!known.matchesBody(bodyDigest)) {
            return answer(known.id(), OperationAnswer.notRun(ErrorCode.IDEMPOTENCY_KEY_REUSED));
        }
        return answer(known.id(), known.answer());
    }

    private GuardDecision answer(OperationId id, OperationAnswer answer) {
        String code = answer.code() == null ? "" : answer.code().code();
        events.emit(new OperationAnswered(
                id.toString(), self.toString(), answer.outcome().label(), code));
        return new GuardDecision.Answered(answer);
    }

    private static boolean isRunningSame(OperationRecord known, String bodyDigest) {
        return known.state() == OperationState.RUNNING && known.matchesBody(bodyDigest);
    }

    private static boolean isBound(OperationId id) {
        return BoundKey.parse(id.key()).isPresent();
    }
}

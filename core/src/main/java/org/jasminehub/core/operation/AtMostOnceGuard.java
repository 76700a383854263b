package org.jasminehub.core.operation;

import java.util.Optional;
import java.util.Set;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Ensures that an agent runs each operation of its service at most once, and reports the outcome without guessing.
 *
 * <p>An operation is started only if all of these conditions hold:
 *
 * <ul>
 *   <li>the request carries an unexpired ticket that was issued by this incarnation;
 *   <li>this agent is the key's home in the newest home table that it knows, and it has confirmed that table within the
 *       lease duration;
 *   <li>no previous home of the key can still run the operation.
 * </ul>
 *
 * <p>The last two conditions do not apply to a {@link BoundKey}, which only its issuer may run. If the guard has
 * reported an operation as not run, it never starts that operation later.
 *
 * <pre>{@code
 * GuardDecision decision = guard.start(ticket, bodyDigest);
 * if (decision instanceof GuardDecision.RunNow) {
 *     callService(...);
 * }
 * }</pre>
 *
 * <p>Arguments must not be null. Not thread-safe.
 */
public final class AtMostOnceGuard {
    private final AgentIncarnation self;
    private final String service;
    private final OperationTimes times;
    private final Clock clock;
    private final EventSink events;
    private final OperationLedger ledger;
    private final HomeTableHistory history;
    private long leaseUntilMillis;
    private long lastSerial;

    /** Creates the guard of a process that has just started, with an empty ledger and no home table. */
    public AtMostOnceGuard(
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
        this.history = new HomeTableHistory(self, times.quarantineMillis());
        this.leaseUntilMillis = clock.monotonicMillis();
    }

    /** Issues a new key whose operation only this incarnation may run. */
    public BoundKey issueKey() {
        lastSerial++;
        return new BoundKey(self, clock.monotonicMillis(), lastSerial);
    }

    /** Applies a home table that was read from the log; ignores tables that are not newer than the current one. */
    public void learn(HomeTable table) {
        if (history.learn(table, clock.monotonicMillis())) {
            events.emit(new HomeTableLearned(
                    service, self.toString(), table.epoch(), table.members().size()));
        }
    }

    /**
     * Renews the lease if {@code epoch} is the current epoch. The caller must have verified that the table of {@code
     * epoch} was in force at a log position that was written after {@code askedMillis}, by this agent's monotonic
     * clock.
     */
    public void confirm(long epoch, long askedMillis) {
        if (epoch == history.epoch()) {
            leaseUntilMillis = Math.max(leaseUntilMillis, askedMillis + times.leaseMillis());
        }
    }

    /** Decides whether a request may be sent to this agent, and issues a ticket if so. */
    public GuardDecision requestTicket(OperationId id, String bodyDigest) {
        long nowMillis = clock.monotonicMillis();
        Optional<OperationRecord> known = ledger.find(id, nowMillis);
        if (known.isPresent() && !isSameRequestRunning(known.get(), bodyDigest)) {
            return answerFromRecord(known.get(), bodyDigest);
        }
        GuardDecision refusal = known.isPresent() ? null : refuseUnlessHome(id, nowMillis);
        if (refusal != null) {
            return refusal;
        }
        return new GuardDecision.TicketGranted(new OperationTicket(self, id, nowMillis + times.ticketMillis()));
    }

    /** Decides whether the request that carries {@code ticket} must now be sent to the service. */
    public GuardDecision start(OperationTicket ticket, String bodyDigest) {
        long nowMillis = clock.monotonicMillis();
        OperationId id = ticket.id();
        Optional<OperationRecord> known = ledger.find(id, nowMillis);
        if (known.isPresent()) {
            return isSameRequestRunning(known.get(), bodyDigest)
                    ? new GuardDecision.AwaitRun(id)
                    : answerFromRecord(known.get(), bodyDigest);
        }
        if (!ticket.issuer().equals(self) || nowMillis > ticket.expiresMillis()) {
            return answer(id, OperationAnswer.unknown(ErrorCode.TICKET_INVALID));
        }
        GuardDecision refusal = refuseUnlessHome(id, nowMillis);
        if (refusal != null) {
            return refusal;
        }
        if (!ledger.hasRoomToRun()) {
            return answer(id, recordRevocation(id, ErrorCode.OVERLOADED, nowMillis));
        }
        ledger.add(new OperationRecord(id, bodyDigest, OperationState.RUNNING, null, nowMillis));
        events.emit(new OperationStarted(id.toString(), self.toString(), history.epoch()));
        return new GuardDecision.RunNow(id);
    }

    /** Revokes the operation so that it never runs; if it has been started, the answer reports what is known of it. */
    public GuardDecision revoke(OperationId id, String bodyDigest) {
        long nowMillis = clock.monotonicMillis();
        Optional<OperationRecord> known = ledger.find(id, nowMillis);
        if (known.isPresent()) {
            return answerFromRecord(known.get(), bodyDigest);
        }
        GuardDecision refusal = refuseUnlessHome(id, nowMillis);
        if (refusal != null) {
            return refusal;
        }
        return answer(id, recordRevocation(id, ErrorCode.OPERATION_REVOKED, nowMillis));
    }

    /** Records the response of the service. */
    public OperationAnswer finish(OperationId id, OperationResult result) {
        ledger.finish(id, result);
        events.emit(new OperationFinished(id.toString(), OperationState.DONE.name(), result.status()));
        return OperationAnswer.done(result);
    }

    /** Records that the request may have reached the service and that its response is lost. */
    public OperationAnswer finishInDoubt(OperationId id) {
        ledger.markInDoubt(id);
        events.emit(new OperationFinished(id.toString(), OperationState.IN_DOUBT.name(), 0));
        return OperationAnswer.unknown(ErrorCode.OUTCOME_UNKNOWN);
    }

    /** Records that no byte of the request reached the service. */
    public OperationAnswer finishUnsent(OperationId id) {
        ledger.markRevoked(id);
        events.emit(new OperationFinished(id.toString(), OperationState.REVOKED.name(), 0));
        return OperationAnswer.notRun(ErrorCode.ENDPOINT_FAILED);
    }

    /** Returns the previous homes from which a {@link Handover} should be requested. */
    public Set<AgentIncarnation> missingHandovers() {
        return history.missingHandovers(clock.monotonicMillis());
    }

    /**
     * Hands over the keys that {@code table} moves to {@code to}. Returns null if this agent knows a newer table; the
     * new home must learn that table first.
     */
    public @Nullable Handover handOver(HomeTable table, AgentIncarnation to) {
        learn(table);
        if (table.epoch() != history.epoch()) {
            return null;
        }
        long nowMillis = clock.monotonicMillis();
        var records = ledger.matching(id -> !isBound(id) && table.isHome(to, id), nowMillis).stream()
                .map(operation -> operation.sentAt(nowMillis))
                .toList();
        events.emit(new HandoverGiven(service, self.toString(), to.toString(), table.epoch(), records.size()));
        return new Handover(self, to, table.epoch(), records, history.openQuarantines(nowMillis));
    }

    /** Applies a handover from a previous home; ignores it if it is for another incarnation or another table. */
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

    private OperationAnswer recordRevocation(OperationId id, ErrorCode code, long nowMillis) {
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

    /**
     * Checks a bound key that has no record. While the record cannot have expired, its absence proves that the
     * operation has not run; after that, the outcome is unknown.
     */
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
        boolean canHaveExpired = ageMillis > times.retentionMillis();
        return answer(
                id,
                canHaveExpired
                        ? OperationAnswer.unknown(ErrorCode.IDEMPOTENCY_KEY_EXPIRED)
                        : OperationAnswer.notRun(ErrorCode.IDEMPOTENCY_KEY_EXPIRED));
    }

    private GuardDecision answerFromRecord(OperationRecord known, String bodyDigest) {
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

    private static boolean isSameRequestRunning(OperationRecord known, String bodyDigest) {
        return known.state() == OperationState.RUNNING && known.matchesBody(bodyDigest);
    }

    private static boolean isBound(OperationId id) {
        return BoundKey.parse(id.key()).isPresent();
    }
}

package org.jasminehub.core.error;

/**
 * The stable codes of every failure that leaves a process, with the HTTP status that carries each.
 *
 * <p>Codes are part of the callers' interface: one is never renamed or given another meaning.
 */
public enum ErrorCode {
    /** A program passed a value outside its range. */
    ARGUMENT_INVALID("argument-invalid", 500),
    /** A settings file cannot be used. */
    SETTINGS_INVALID("settings-invalid", 500),
    /** A team's document does not pass its schema. */
    DOCUMENT_INVALID("document-invalid", 422),
    /** A publish was based on another version than the one in force. */
    DOCUMENT_CONFLICT("document-conflict", 409),
    /** The history is no longer readable from where the reader stands. */
    HISTORY_TRUNCATED("history-truncated", 503),
    /** An exported history does not match its hash chain. */
    AUDIT_MISMATCH("audit-mismatch", 500),
    /** A service of the platform did not answer, or answered with an error. */
    PLATFORM_UNAVAILABLE("platform-unavailable", 503),
    /** The answer to an append was lost and its effect is not known yet. */
    APPEND_UNSETTLED("append-unsettled", 503),
    /** A request cannot be parsed. */
    REQUEST_MALFORMED("request-malformed", 400),
    /** A request's body or header is larger than allowed. */
    REQUEST_TOO_LARGE("request-too-large", 413),
    /** The workspace is missing or appears in no document in force. */
    WORKSPACE_UNKNOWN("workspace-unknown", 404),
    /** No route of a document in force matches the request. */
    ROUTE_UNKNOWN("route-unknown", 404),
    /** A call that must not be repeated came without an Idempotency-Key. */
    IDEMPOTENCY_KEY_MISSING("idempotency-key-missing", 400),
    /** The same Idempotency-Key came with another request body. */
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422),
    /** The key is older than the window in which repeats are recognized. */
    IDEMPOTENCY_KEY_EXPIRED("idempotency-key-expired", 409),
    /** The workspace is over one of its limits. */
    LIMIT_EXCEEDED("limit-exceeded", 429),
    /** The queue leaves no chance to finish before the deadline. */
    DEADLINE_UNREACHABLE("deadline-unreachable", 503),
    /** The deadline passed while the request ran. */
    DEADLINE_EXCEEDED("deadline-exceeded", 504),
    /** An agent's queue is full. */
    OVERLOADED("overloaded", 503),
    /** No endpoint serves the route at present. */
    NO_ENDPOINT("no-endpoint", 503),
    /** No more attempts are allowed for the request. */
    RETRIES_EXHAUSTED("retries-exhausted", 503),
    /** The endpoint failed before it finished its answer. */
    ENDPOINT_FAILED("endpoint-failed", 502),
    /** The answer ended early after part of it was relayed. */
    ANSWER_CUT("answer-cut", 502),
    /** The instance is leaving and takes no new work. */
    LEAVING("leaving", 503),
    /** The work was decided under an older document than one already shown here. */
    DOCUMENT_OUTDATED("document-outdated", 503),
    /** It is not known whether the operation ran. */
    OUTCOME_UNKNOWN("outcome-unknown", 504),
    /** The operation's ticket is not valid at this incarnation of the agent. */
    TICKET_INVALID("ticket-invalid", 409),
    /** The operation was revoked before it ran; its key stays revoked. */
    OPERATION_REVOKED("operation-revoked", 409),
    /** The service's answer to the operation was too large to keep for a repeat. */
    RESULT_NOT_KEPT("result-not-kept", 504),
    /** The key's home cannot rule out that another agent ran the operation. */
    HOME_UNSETTLED("home-unsettled", 503),
    /** An order carried an old fencing number. */
    ORDER_FENCED("order-fenced", 409),
    /** A peer speaks another protocol version, or sent bytes that are no message. */
    PROTOCOL_VIOLATION("protocol-violation", 502),
    /** The instance has not learnt its state yet, or cannot tell whether it is current. */
    NOT_READY("not-ready", 503),
    /** A fault of this program. */
    INTERNAL("internal", 500);

    private final String code;
    private final int httpStatus;

    ErrorCode(String code, int httpStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
    }

    /** Returns the code as callers see it. */
    public String code() {
        return code;
    }

    /** Returns the code that callers see as {@code code}, or {@link #INTERNAL} where this program knows none. */
    public static ErrorCode of(String code) {
        for (ErrorCode known : values()) {
            if (known.code.equals(code)) {
                return known;
            }
        }
        return INTERNAL;
    }

    /** Returns the HTTP status that carries this code to a caller. */
    public int httpStatus() {
        return httpStatus;
    }
}

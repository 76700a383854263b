package org.jasminehub.core.error;

/**
 * The stable codes of all errors that are reported outside a process, with their HTTP status codes.
 *
 * <p>Codes are part of the public interface: a code is never renamed or given another meaning.
 */
public enum ErrorCode {
    /** An argument has a value that is not allowed. */
    ARGUMENT_INVALID("argument-invalid", 500),
    /** A settings file is invalid. */
    SETTINGS_INVALID("settings-invalid", 500),
    /** A team's document does not conform to the schema. */
    DOCUMENT_INVALID("document-invalid", 422),
    /** A document was published on the basis of a version that is not the one in force. */
    DOCUMENT_CONFLICT("document-conflict", 409),
    /** The history can no longer be read from the position of the reader. */
    HISTORY_TRUNCATED("history-truncated", 503),
    /** An exported history does not match its hash chain. */
    AUDIT_MISMATCH("audit-mismatch", 500),
    /** A service of the platform did not respond or responded with an error. */
    PLATFORM_UNAVAILABLE("platform-unavailable", 503),
    /** A response of the platform's store originates from before its latest restore. */
    STORE_ERA_OUTDATED("store-era-outdated", 503),
    /** The response to an append was lost and the effect of the append is not known yet. */
    APPEND_UNSETTLED("append-unsettled", 503),
    /** A request cannot be parsed. */
    REQUEST_MALFORMED("request-malformed", 400),
    /** The body or a header of a request is larger than allowed. */
    REQUEST_TOO_LARGE("request-too-large", 413),
    /** Clients hold all the memory that they may, so the request was not read. */
    MEMORY_EXHAUSTED("memory-exhausted", 503),
    /** The client sent no more of its request while others needed the memory that it held. */
    REQUEST_STALLED("request-stalled", 408),
    /** The request names no workspace, or one that no document in force contains. */
    WORKSPACE_UNKNOWN("workspace-unknown", 404),
    /** No route of a document in force matches the request. */
    ROUTE_UNKNOWN("route-unknown", 404),
    /** A non-idempotent request has no Idempotency-Key header. */
    IDEMPOTENCY_KEY_MISSING("idempotency-key-missing", 400),
    /** The Idempotency-Key was used before with a different request body. */
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422),
    /** The Idempotency-Key is older than the time for which repeated requests are recognized. */
    IDEMPOTENCY_KEY_EXPIRED("idempotency-key-expired", 409),
    /** The workspace exceeds one of its limits. */
    LIMIT_EXCEEDED("limit-exceeded", 429),
    /** The queue is too long to complete the request before its deadline. */
    DEADLINE_UNREACHABLE("deadline-unreachable", 503),
    /** The deadline passed while the request was executed. */
    DEADLINE_EXCEEDED("deadline-exceeded", 504),
    /** The queue of an agent is full. */
    OVERLOADED("overloaded", 503),
    /** No endpoint currently serves the route. */
    NO_ENDPOINT("no-endpoint", 503),
    /** Calls with a part of this prompt crashed several endpoints and are held back. */
    PROMPT_QUARANTINED("prompt-quarantined", 503),
    /** This request crashed several endpoints and is held back. */
    REQUEST_QUARANTINED("request-quarantined", 503),
    /** All endpoints that serve the route refused requests and asked to be sent none for some time. */
    ENDPOINTS_QUIET("endpoints-quiet", 503),
    /** All endpoints that serve the route limit the requests that they take, and other calls use up the limits. */
    ENDPOINTS_LIMITED("endpoints-limited", 503),
    /** The operator evacuates the failure domains of all endpoints that serve the route. */
    DOMAIN_EVACUATED("domain-evacuated", 503),
    /** All endpoints that serve the route are cold, and this instance may send them nothing now. */
    ENDPOINTS_COLD("endpoints-cold", 503),
    /** No more attempts are allowed for the request. */
    RETRIES_EXHAUSTED("retries-exhausted", 503),
    /** The endpoint failed before its response was complete. */
    ENDPOINT_FAILED("endpoint-failed", 502),
    /** The response ended early after part of it had been relayed. */
    ANSWER_CUT("answer-cut", 502),
    /** The instance is leaving and accepts no new work. */
    LEAVING("leaving", 503),
    /** The request was handled under an older document than one that this process already knows. */
    DOCUMENT_OUTDATED("document-outdated", 503),
    /** It is not known whether the operation was executed. */
    OUTCOME_UNKNOWN("outcome-unknown", 504),
    /** The ticket of the operation is not valid for this incarnation of the agent. */
    TICKET_INVALID("ticket-invalid", 409),
    /** The operation was revoked before it was executed; its key remains revoked. */
    OPERATION_REVOKED("operation-revoked", 409),
    /** The result of the operation was too large to store for repeated requests. */
    RESULT_NOT_KEPT("result-not-kept", 504),
    /** The home of the key cannot exclude that another agent executed the operation. */
    HOME_UNSETTLED("home-unsettled", 503),
    /** An order has an outdated fencing number or addresses another incarnation of the agent. */
    ORDER_FENCED("order-fenced", 409),
    /** A peer uses another protocol version or sent data that is not a valid message. */
    PROTOCOL_VIOLATION("protocol-violation", 502),
    /** The instance has not loaded its state yet or cannot determine whether it is current. */
    NOT_READY("not-ready", 503),
    /** An internal error. */
    INTERNAL("internal", 500);

    private final String code;
    private final int httpStatus;

    ErrorCode(String code, int httpStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
    }

    /** Returns the text form of the code that callers see. */
    public String code() {
        return code;
    }

    /** Returns the constant for the text form {@code code}, or {@link #INTERNAL} if the code is not known. */
    public static ErrorCode of(String code) {
        for (ErrorCode known : values()) {
            if (known.code.equals(code)) {
                return known;
            }
        }
        return INTERNAL;
    }

    /** Returns the HTTP status code of responses with this error code. */
    public int httpStatus() {
        return httpStatus;
    }
}

package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.balance.ResponsePolicy.Decision;

/**
 * Discards a response that may not reach the caller. The attempt ends with the response, so that its connection can be
 * reused, or before if the body is large, because it may have no end.
 */
final class WithheldRelay implements ResponseRelay {
    private static final int MAX_DISCARDED_BYTES = 256 << 10;

    private final Attempt attempt;
    private final Decision decision;
    private HttpResponseStatus status = HttpResponseStatus.OK;
    private int discardedBytes;

    WithheldRelay(Attempt attempt, Decision decision) {
        this.attempt = attempt;
        this.decision = decision;
    }

    @Override
    public void begin(HttpResponseStatus responseStatus, HttpHeaders responseHeaders) {
        status = responseStatus;
    }

    @Override
    public void part(byte[] bytes) {
        discardedBytes += bytes.length;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            end();
        }
    }

    @Override
    public void end() {
        switch (decision) {
            case NOT_RUN -> attempt.fail(AttemptEnd.NOT_RUN, "refused with status " + status.code());
            case MISDIRECTED -> attempt.fail(AttemptEnd.MISDIRECTED, "refused with status " + status.code());
            default -> attempt.fail(AttemptEnd.FAILED, "failed with status " + status.code());
        }
    }
}

package org.jasminehub.gateway.call;

import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.core.serving.WorkspaceGrant;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.platform.hosted.CallHeaders;
import org.jspecify.annotations.Nullable;

/** The state of a call that the filters build up; each filter adds to it. */
final class CallContext {
    /** Several times the length of usual ids; a caller may send one as long as its headers may be. */
    private static final int MAX_LOGGED_ID_LENGTH = 200;

    final CallerRequest request;
    final long arrivedMillis;

    @Nullable
    CallHeaders headers;

    @Nullable
    RouteTable table;

    long tableAgeMillis;

    @Nullable
    Route route;

    @Nullable
    WorkspaceGrant grant;

    long deadlineMillis;

    CallContext(CallerRequest request, long arrivedMillis) {
        this.request = request;
        this.arrivedMillis = arrivedMillis;
    }

    /** Returns the id for log lines, which wait in memory while standard output is blocked. */
    String loggedRequestId() {
        String id = requestId();
        return id.length() <= MAX_LOGGED_ID_LENGTH ? id : id.substring(0, MAX_LOGGED_ID_LENGTH);
    }

    String requestId() {
        return headers == null || headers.requestId() == null ? "" : headers.requestId();
    }

    /** Returns the time that the call had left when it arrived. */
    long timeLimitMillis() {
        return deadlineMillis - arrivedMillis;
    }
}

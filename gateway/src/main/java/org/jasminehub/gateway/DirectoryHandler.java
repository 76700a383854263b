package org.jasminehub.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerHandler;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.platform.hosted.DirectoryAdapter;
import org.jasminehub.wire.generated.InstanceRecord;

/** Answers address look-ups by callers and readiness probes by the platform. */
final class DirectoryHandler implements CallerHandler {
    /** Short, so that callers soon move away from a stopping instance; each response costs only a few hundred bytes. */
    static final long TTL_MILLIS = 2_000;

    /** Callers ignore addresses beyond this number. */
    private static final int MAX_ADDRESSES = 64;

    private final BooleanSupplier isReady;
    private final Supplier<List<InstanceRecord>> instances;
    private final GatewaySettings settings;

    DirectoryHandler(BooleanSupplier isReady, Supplier<List<InstanceRecord>> instances, GatewaySettings settings) {
        this.isReady = isReady;
        this.instances = instances;
        this.settings = settings;
    }

    @Override
    public boolean needsBody(CallerRequest request) {
        return false;
    }

    @Override
    public CallerExchange handle(CallerRequest request, CallerResponse answer) {
        if (DirectoryAdapter.isReadiness(request.uri())) {
            respond(answer, isReady.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else if (DirectoryAdapter.isResolution(request.uri())) {
            resolve(request, answer);
        } else {
            respond(answer, HttpResponseStatus.NOT_FOUND);
        }
        return CallerExchange.COMPLETED;
    }

    private void resolve(CallerRequest request, CallerResponse answer) {
        FailureDomain callerDomain = DirectoryAdapter.callerDomain(request.uri());
        List<InstanceRecord> accepting = new ArrayList<>(instances.get());
        if (accepting.isEmpty()) {
            respond(answer, HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        accepting.sort(Comparator.comparing(
                        (InstanceRecord each) -> !each.getFailureDomain().equals(callerDomain.value()))
                .thenComparing(InstanceRecord::getInstance));
        List<String> addresses = accepting.stream()
                .limit(MAX_ADDRESSES)
                .map(each -> each.getHost() + ":" + each.getCallerPort())
                .toList();
        long ttlMillis = (long) Math.min(TTL_MILLIS, settings.addressTtlSeconds() * TimeUnit.SECONDS.toMillis(1));
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        answer.complete(HttpResponseStatus.OK, headers, DirectoryAdapter.encode(addresses, ttlMillis));
    }

    private static void respond(CallerResponse answer, HttpResponseStatus status) {
        answer.complete(status, new DefaultHttpHeaders(false), new byte[0]);
    }
}

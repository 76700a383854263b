package org.jasminehub.gateway.ratelimit;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.ratelimit.RatePermitMessage;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.wire.generated.EndpointRateLimit;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RatePermitExchange;
import org.jasminehub.wire.generated.RatePermitKind;
import org.jspecify.annotations.Nullable;

/** Converts messages about rate limits and permits to and from their wire form. */
final class RateLimitMessages {
    private RateLimitMessages() {}

    /** Returns the announcement that {@code endpoint} stated a limit {@code ageMillis} ago. */
    static PeerEnvelope stated(EndpointIncarnation endpoint, double requestsPerSecond, long ageMillis) {
        return envelope(limit(endpoint)
                .setIsLimited(true)
                .setRequestsPerSecond(requestsPerSecond)
                .setEvidenceAgeMillis(ageMillis));
    }

    /** Returns the announcement that the response to a request sent {@code sentAgeMillis} ago ended a limit. */
    static PeerEnvelope ended(EndpointIncarnation endpoint, long sentAgeMillis) {
        return envelope(limit(endpoint).setEvidenceAgeMillis(sentAgeMillis));
    }

    private static EndpointRateLimit.Builder limit(EndpointIncarnation endpoint) {
        return EndpointRateLimit.newBuilder()
                .setEndpoint(endpoint.id().value())
                .setStartedWallMillis(endpoint.startedWallMillis());
    }

    private static PeerEnvelope envelope(EndpointRateLimit.Builder limit) {
        return PeerEnvelope.newBuilder().setEndpointRateLimit(limit).build();
    }

    /** Returns {@code message} as sent by {@code instance}. */
    static PeerEnvelope encode(String instance, RatePermitMessage message) {
        RatePermitExchange.Builder encoded = RatePermitExchange.newBuilder()
                .setInstance(instance)
                .setEndpoint(message.endpoint().id().value())
                .setStartedWallMillis(message.endpoint().startedWallMillis());
        if (message instanceof RatePermitMessage.Request request) {
            encoded.setKind(RatePermitKind.RATE_PERMIT_REQUEST)
                    .setRequestsPerSecond(request.requestsPerSecond())
                    .setStatedAgeMillis(request.statedAgeMillis());
        } else if (message instanceof RatePermitMessage.Permit) {
            encoded.setKind(RatePermitKind.RATE_PERMIT_ISSUE);
        } else if (message instanceof RatePermitMessage.Queued queued) {
            encoded.setKind(RatePermitKind.RATE_PERMIT_QUEUE).setWaitMillis(queued.waitMillis());
        } else if (message instanceof RatePermitMessage.Return) {
            encoded.setKind(RatePermitKind.RATE_PERMIT_RETURN);
        }
        return PeerEnvelope.newBuilder().setRatePermitExchange(encoded).build();
    }

    /** Returns the decoded message, or null if its kind is not known to this version. */
    static @Nullable RatePermitMessage decode(RatePermitExchange encoded) {
        EndpointIncarnation endpoint = incarnation(encoded.getEndpoint(), encoded.getStartedWallMillis());
        return switch (encoded.getKind()) {
            case RATE_PERMIT_REQUEST ->
                new RatePermitMessage.Request(endpoint, encoded.getRequestsPerSecond(), encoded.getStatedAgeMillis());
            case RATE_PERMIT_ISSUE -> new RatePermitMessage.Permit(endpoint);
            case RATE_PERMIT_QUEUE -> new RatePermitMessage.Queued(endpoint, encoded.getWaitMillis());
            case RATE_PERMIT_RETURN -> new RatePermitMessage.Return(endpoint);
            case UNRECOGNIZED -> null;
        };
    }

    static EndpointIncarnation incarnation(String endpoint, long startedWallMillis) {
        return new EndpointIncarnation(new EndpointId(endpoint), startedWallMillis);
    }
}

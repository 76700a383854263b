package org.jasminehub.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.math.LongMath;
import java.math.RoundingMode;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.entry.filter.CallerResponse;
import org.jasminehub.entry.filter.Problem;

/** Converts caller responses and failures to HTTP responses. */
final class Responses {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ContentType PROBLEM_JSON = ContentTypes.parse("application/problem+json");

    private Responses() {}

    static HttpResponse of(CallerResponse callerResponse) {
        HttpResponse response = HttpResponse.create().withStatus(callerResponse.status());
        ContentType contentType = ContentTypes.parse(callerResponse.contentType());
        if (callerResponse instanceof CallerResponse.Streamed streamed) {
            return response.withEntity(HttpEntities.createChunked(contentType, streamed.body()));
        }
        return response.withEntity(HttpEntities.create(contentType, ((CallerResponse.Complete) callerResponse).body()));
    }

    static HttpResponse problem(RequestException failure) {
        HttpResponse response = HttpResponse.create()
                .withStatus(failure.code().httpStatus())
                .withEntity(HttpEntities.create(
                        PROBLEM_JSON, ByteString.fromString(Problem.of(failure).toJson())));
        if (failure.retryAfterMillis() < 0) {
            return response;
        }
        long seconds =
                LongMath.divide(Math.max(1, failure.retryAfterMillis()), MILLIS_PER_SECOND, RoundingMode.CEILING);
        return response.addHeader(RawHeader.create("Retry-After", Long.toString(seconds)));
    }

    static HttpResponse json(Object body) {
        try {
            return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            return problem(new RequestException(
                    ErrorCode.INTERNAL, Outcome.UNKNOWN, RequestException.NO_RETRY, "cannot write the answer", e));
        }
    }
}

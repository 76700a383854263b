package org.jasminehub.entry.filter;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jasminehub.core.error.RequestException;
import org.jspecify.annotations.Nullable;

/**
 * A problem document of RFC 9457.
 *
 * @param type the URI reference of the problem type
 * @param title a short name of the problem
 * @param status the HTTP status
 * @param detail a description of the failure
 * @param code the stable error code
 * @param outcome whether the request ran, as far as it is known
 * @param retryAfterMillis the delay after which the caller may retry, or null if a retry makes no difference
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(
        String type,
        String title,
        int status,
        String detail,
        String code,
        String outcome,
        @Nullable Long retryAfterMillis) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the problem document of {@code failure}. */
    public static Problem of(RequestException failure) {
        String code = failure.code().code();
        long retryAfter = failure.retryAfterMillis();
        return new Problem(
                "urn:jasminehub:" + code,
                code.replace('-', ' '),
                failure.code().httpStatus(),
                String.valueOf(failure.getMessage()),
                code,
                failure.outcome().label(),
                retryAfter < 0 ? null : retryAfter);
    }

    /** Returns the document as JSON on one line. */
    public String toJson() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            return "{\"code\":\"" + code + "\"}";
        }
    }
}

package org.jasminehub.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class RequestReaderTest {
    private final RequestReader reader = new RequestReader(new ManualClock(0), () -> new RequestId("r-1"));

    private long answerTokens(String maxTokens) {
        HttpRequest request = HttpRequest.POST("http://h.example/v1/chat/completions")
                .addHeader(RawHeader.create("X-Workspace", "team"));
        String body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],\"max_tokens\":"
                + maxTokens + "}";
        return reader.readChat(request, ByteString.fromString(body)).maxAnswerTokens();
    }

    @Test
    void testTheNumberOfTokensIsRead() {
        assertEquals(1, answerTokens("1"));
        assertEquals(1_000_000, answerTokens("1000000"));
    }

    /** Guards against a number of more than 64 bits that is taken for the one in its lower bits. */
    @ParameterizedTest
    @ValueSource(strings = {"18446744073709551621", "9223372036854775808", "0", "-1", "1000001", "5.0", "1e3", "\"5\""})
    void testANumberOfTokensOutOfRangeIsRejected(String maxTokens) {
        RequestException rejection = assertThrows(RequestException.class, () -> answerTokens(maxTokens));

        assertEquals(ErrorCode.REQUEST_MALFORMED, rejection.code());
    }
}

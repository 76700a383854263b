package org.jasminehub.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.filter.CallerRequest;
import org.jspecify.annotations.Nullable;

/** Parses callers' requests and rejects malformed ones. Thread-safe. */
final class RequestReader {
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String SERVICES_PREFIX = "/services/";
    static final String WORKSPACE_HEADER = "x-workspace";

    private static final String ROUTE_HEADER = "x-route";
    private static final String IDEMPOTENCY_HEADER = "idempotency-key";
    private static final int MAX_KEY_LENGTH = 200;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_ANSWER_TOKENS = 256;
    private static final int MAX_ANSWER_TOKENS = 1_000_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Clock clock;
    private final Supplier<RequestId> ids;

    /** Creates a reader; {@code ids} supplies a unique id for each request. */
    RequestReader(Clock clock, Supplier<RequestId> ids) {
        this.clock = clock;
        this.ids = ids;
    }

    CallerRequest readChat(HttpRequest request, ByteString body) {
        JsonNode chat = parse(body);
        JsonNode model = chat.path("model");
        if (!model.isTextual() || model.asText().isBlank()) {
            throw malformed("model is missing or no text");
        }
        if (!chat.path("messages").isArray() || chat.path("messages").isEmpty()) {
            throw malformed("messages is missing, empty or no list");
        }
        return new CallerRequest(
                ids.get(),
                workspaceOf(request),
                Target.model(model.asText()),
                request.method().value(),
                CHAT_PATH,
                streamOf(chat),
                body,
                body.size() / BYTES_PER_TOKEN + 1,
                answerTokensOf(chat),
                headerOf(request, ROUTE_HEADER),
                null,
                clock.monotonicMillis());
    }

    CallerRequest readService(HttpRequest request, ByteString body) {
        String path = request.getUri().path();
        int nameEnd = path.indexOf('/', SERVICES_PREFIX.length());
        if (nameEnd <= SERVICES_PREFIX.length()) {
            throw malformed("the path must be /services/NAME/…");
        }
        String key = headerOf(request, IDEMPOTENCY_HEADER);
        if (key != null && (key.isBlank() || key.length() > MAX_KEY_LENGTH)) {
            throw malformed("Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters");
        }
        return new CallerRequest(
                ids.get(),
                workspaceOf(request),
                Target.service(path.substring(SERVICES_PREFIX.length(), nameEnd)),
                request.method().value(),
                pathWithQuery(request, path.substring(nameEnd)),
                false,
                body,
                1,
                0,
                headerOf(request, ROUTE_HEADER),
                key,
                clock.monotonicMillis());
    }

    static RequestException malformed(String message) {
        return new RequestException(ErrorCode.REQUEST_MALFORMED, Outcome.NOT_RUN, message);
    }

    static @Nullable String headerOf(HttpRequest request, String name) {
        Optional<HttpHeader> header = request.getHeader(name);
        return header.map(HttpHeader::value).orElse(null);
    }

    private static WorkspaceId workspaceOf(HttpRequest request) {
        String workspace = headerOf(request, WORKSPACE_HEADER);
        if (workspace == null || workspace.isBlank()) {
            throw new RequestException(
                    ErrorCode.WORKSPACE_UNKNOWN, Outcome.NOT_RUN, "the header X-Workspace is missing");
        }
        return new WorkspaceId(workspace);
    }

    private static JsonNode parse(ByteString body) {
        try {
            JsonNode node = MAPPER.readTree(body.toArray());
            if (node == null || !node.isObject()) {
                throw malformed("the body is no JSON object");
            }
            return node;
        } catch (JsonProcessingException e) {
            throw malformed("the body is no JSON: line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr());
        } catch (IOException e) {
            throw malformed("the body cannot be read");
        }
    }

    private static boolean streamOf(JsonNode chat) {
        JsonNode stream = chat.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw malformed("stream must be true or false");
        }
        return stream.asBoolean(false);
    }

    private static long answerTokensOf(JsonNode chat) {
        JsonNode tokens = chat.path("max_tokens");
        if (tokens.isMissingNode()) {
            return DEFAULT_ANSWER_TOKENS;
        }
        boolean isInteger = tokens.isIntegralNumber() && tokens.canConvertToLong();
        if (!isInteger || tokens.longValue() < 1 || tokens.longValue() > MAX_ANSWER_TOKENS) {
            throw malformed("max_tokens must be a whole number from 1 to " + MAX_ANSWER_TOKENS);
        }
        return tokens.longValue();
    }

    private static String pathWithQuery(HttpRequest request, String path) {
        return request.getUri()
                .rawQueryString()
                .map(query -> path + "?" + query)
                .orElse(path);
    }
}

package org.jasminehub.standin;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** The part of a chat completion request that the engine stand-in reads. */
@JsonIgnoreProperties(ignoreUnknown = true)
record ChatRequestJson(
        String model,
        List<MessageJson> messages,
        boolean stream,
        @JsonProperty("max_tokens") @Nullable Integer maxTokens) {
    private static final int DEFAULT_TOKENS = 16;

    int tokens() {
        return maxTokens == null ? DEFAULT_TOKENS : maxTokens;
    }

    String prompt() {
        return messages.stream().map(MessageJson::content).collect(Collectors.joining("\n"));
    }

    /** One message of the conversation. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record MessageJson(String role, String content) {}
}

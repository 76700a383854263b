package org.jasminehub.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A chat completion, or one chunk of it, in the format that client libraries expect. */
record CompletionJson(String id, String object, String model, List<ChoiceJson> choices) {
    static CompletionJson chunk(String id, String model, String text, boolean last) {
        ChoiceJson choice = new ChoiceJson(0, new TextJson("assistant", text), null, last ? "stop" : null);
        return new CompletionJson(id, "chat.completion.chunk", model, List.of(choice));
    }

    static CompletionJson complete(String id, String model, String text) {
        ChoiceJson choice = new ChoiceJson(0, null, new TextJson("assistant", text), "stop");
        return new CompletionJson(id, "chat.completion", model, List.of(choice));
    }

    /** One choice, with a delta in a chunk or a message in a complete response. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record ChoiceJson(
            int index,
            @Nullable TextJson delta,
            @Nullable TextJson message,
            @JsonProperty("finish_reason") @Nullable String finishReason) {}

    /** A text and the role of its author. */
    record TextJson(String role, String content) {}
}

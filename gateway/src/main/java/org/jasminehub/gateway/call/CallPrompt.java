package org.jasminehub.gateway.call;

import java.util.List;
import java.util.Set;
import org.jasminehub.core.quarantine.CrashSuspect;
import org.jasminehub.platform.hosted.CallHeaders;
import org.jspecify.annotations.Nullable;

/**
 * The parts of a call's prompt, by their ids.
 *
 * @param sharedParts the parts that other requests may share; empty if the caller states none
 * @param ownPart the part that belongs to this request alone
 */
record CallPrompt(List<String> sharedParts, String ownPart) {
    private static final CallPrompt NONE = new CallPrompt(List.of(), "");

    static CallPrompt of(@Nullable CallHeaders headers) {
        List<String> parts = headers == null ? List.of() : headers.promptParts();
        int last = parts.size() - 1;
        return last < 0 ? NONE : new CallPrompt(parts.subList(0, last), parts.get(last));
    }

    CrashSuspect asCrashSuspect() {
        return new CrashSuspect(ownPart, Set.copyOf(sharedParts));
    }
}

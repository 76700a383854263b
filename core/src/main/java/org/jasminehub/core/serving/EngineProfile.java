package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/**
 * How fast a service's model engines work, as the platform's configuration states it.
 *
 * @param slots how many requests an engine runs at once
 * @param kvCapacityTokens tokens that an engine's memory holds
 * @param stepsPerPass token steps in one pass of a group
 * @param stepMillis the fixed time of one step
 * @param stepMillisPerRequest what each running request adds to a step
 * @param prefillTokensPerMilli prompt tokens read in a millisecond
 * @param usualPromptTokens the mean length of a prompt
 * @param usualAnswerTokens the mean length of an answer
 * @param experts how experts are placed, or {@link ExpertLayout#NONE}
 */
public record EngineProfile(
        int slots,
        long kvCapacityTokens,
        int stepsPerPass,
        double stepMillis,
        double stepMillisPerRequest,
        double prefillTokensPerMilli,
        double usualPromptTokens,
        double usualAnswerTokens,
        ExpertLayout experts) {
    /** Creates a profile; {@code slots} and {@code stepsPerPass} must be positive. */
    public EngineProfile {
        Checks.positive("slots", slots);
        Checks.positive("stepsPerPass", stepsPerPass);
    }
}

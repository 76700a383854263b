package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/**
 * The performance of a service's model engines, as given in the platform's configuration.
 *
 * @param slots the number of requests that an engine runs concurrently
 * @param kvCapacityTokens the number of tokens that fit into an engine's key-value cache
 * @param stepsPerPass the number of token steps in one pass of a group
 * @param stepMillis the fixed duration of one step
 * @param stepMillisPerRequest the time that each running request adds to a step
 * @param prefillTokensPerMilli the number of prompt tokens processed per millisecond
 * @param usualPromptTokens the mean length of a prompt
 * @param usualAnswerTokens the mean length of an answer
 * @param experts the layout of experts, or {@link ExpertLayout#NONE}
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

package org.jasminehub.bench.routing;

import org.jasminehub.core.document.Priority;

/**
 * One kind of request of a deployment.
 *
 * @param percent how many of a hundred requests are of this kind
 * @param priority the priority of these requests
 * @param promptTokens the length of the prompt
 * @param prefixTokens the length of the prefix shared with other prompts on the same topic
 * @param answerTokens the mean length of the answer
 * @param deadlineMillis the time after its arrival by which a request must be complete
 */
record RequestShape(
        int percent, Priority priority, long promptTokens, long prefixTokens, long answerTokens, long deadlineMillis) {
    long maxAnswerTokens() {
        return 2 * answerTokens;
    }
}

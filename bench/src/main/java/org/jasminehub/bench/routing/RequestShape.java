package org.jasminehub.bench.routing;

import org.jasminehub.core.document.Priority;

/**
 * One kind of request of a deployment.
 *
 * @param percent how many of a hundred requests are of this kind
 * @param priority its priority
 * @param promptTokens its prompt's length
 * @param prefixTokens how many of them begin like other prompts on the same topic
 * @param answerTokens its answer's mean length
 * @param deadlineMillis when its answer is of no use any more
 */
record RequestShape(
        int percent, Priority priority, long promptTokens, long prefixTokens, long answerTokens, long deadlineMillis) {
    long maxAnswerTokens() {
        return 2 * answerTokens;
    }
}

package org.jasminehub.core.document;

import java.util.List;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Target;

/**
 * How requests of one kind are treated.
 *
 * @param name the route's name, unique in its document
 * @param target what serves it: {@code model/NAME} or {@code service/NAME}
 * @param kind how answers are delivered and what a repeat would do
 * @param methods the HTTP methods it takes
 * @param pathPrefix the start of the path below the target that it takes
 * @param priority which work goes first
 * @param deadlineMillis when the whole answer is of no use any more, counted from its arrival
 * @param firstTokenMillis when the first part of the answer should be there, counted from its arrival
 * @param retry how often its requests may be tried again
 */
public record RouteRule(
        String name,
        Target target,
        RouteKind kind,
        List<String> methods,
        String pathPrefix,
        Priority priority,
        int deadlineMillis,
        int firstTokenMillis,
        RetryRule retry) {
    private static final int MAX_DEADLINE_MILLIS = 3_600_000;

    /** Creates a checked rule. */
    public RouteRule {
        Checks.notBlank("name", name);
        Checks.that(!methods.isEmpty(), "methods", methods, "a list with at least one HTTP method");
        Checks.that(pathPrefix.startsWith("/"), "pathPrefix", pathPrefix, "a path that starts with /");
        Checks.inRange("deadlineMillis", deadlineMillis, 1, MAX_DEADLINE_MILLIS);
        Checks.inRange("firstTokenMillis", firstTokenMillis, 1, deadlineMillis);
        methods = List.copyOf(methods);
    }

    /** Tells whether this rule takes a request for {@code wanted} with this method and path below the target. */
    public boolean matches(Target wanted, String method, String path) {
        return target.equals(wanted) && methods.contains(method) && isBelowPrefix(path);
    }

    private boolean isBelowPrefix(String path) {
        if (pathPrefix.endsWith("/")) {
            return path.startsWith(pathPrefix);
        }
        return path.equals(pathPrefix) || path.startsWith(pathPrefix + "/");
    }
}

package org.jasminehub.core.document;

import java.util.List;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Target;

/**
 * A route: which requests it matches and how they are handled.
 *
 * @param name the name of the route, unique in its document
 * @param target the target that serves the requests, {@code model/NAME} or {@code service/NAME}
 * @param kind how responses are delivered and whether requests may be repeated
 * @param methods the HTTP methods that the route matches
 * @param pathPrefix the prefix of the paths below the target that the route matches
 * @param priority the priority of the requests
 * @param deadlineMillis the time from the arrival of a request after which its complete response is of no use
 * @param firstTokenMillis the time from the arrival of a request within which its response should begin
 * @param retry the limits on retries
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

    /** Creates a rule and validates its components. */
    public RouteRule {
        Checks.notBlank("name", name);
        Checks.that(!methods.isEmpty(), "methods", methods, "a list with at least one HTTP method");
        Checks.that(pathPrefix.startsWith("/"), "pathPrefix", pathPrefix, "a path that starts with /");
        Checks.inRange("deadlineMillis", deadlineMillis, 1, MAX_DEADLINE_MILLIS);
        Checks.inRange("firstTokenMillis", firstTokenMillis, 1, deadlineMillis);
        methods = List.copyOf(methods);
    }

    /** Returns whether this rule matches a request with the given target, method and path below the target. */
    public boolean matches(Target requestTarget, String method, String path) {
        return target.equals(requestTarget) && methods.contains(method) && isBelowPrefix(path);
    }

    private boolean isBelowPrefix(String path) {
        if (pathPrefix.endsWith("/")) {
            return path.startsWith(pathPrefix);
        }
        return path.equals(pathPrefix) || path.startsWith(pathPrefix + "/");
    }
}

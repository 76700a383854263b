package org.jasminehub.core.document;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.identity.TeamId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Target;

/**
 * The configuration of one team: its workspaces, routes and rules for expert placement; immutable.
 *
 * @param schemaVersion the version of the document schema, {@value #SCHEMA_VERSION}
 * @param team the name of the team
 * @param workspaces the workspaces that the team serves
 * @param routes the routes of the team; the first matching route applies to a request
 * @param experts the weights for the placement of experts
 */
public record TeamDocument(
        int schemaVersion, String team, List<WorkspaceRule> workspaces, List<RouteRule> routes, ExpertRule experts) {
    /** The supported schema version. */
    public static final int SCHEMA_VERSION = 1;

    /** Creates a document and validates it. */
    public TeamDocument {
        Checks.that(schemaVersion == SCHEMA_VERSION, "schemaVersion", schemaVersion, "" + SCHEMA_VERSION);
        Checks.notBlank("team", team);
        requireUnique("workspaces", workspaces.stream().map(WorkspaceRule::name).toList());
        requireUnique("routes", routes.stream().map(RouteRule::name).toList());
        workspaces = List.copyOf(workspaces);
        routes = List.copyOf(routes);
    }

    /** Returns the name of the team as a {@link TeamId}. */
    public TeamId teamId() {
        return new TeamId(team);
    }

    /** Returns the rule of {@code workspace}, or empty if this document does not contain it. */
    public Optional<WorkspaceRule> workspace(WorkspaceId workspace) {
        return workspaces.stream()
                .filter(rule -> rule.name().equals(workspace.value()))
                .findFirst();
    }

    /** Returns the first route that matches the request, or empty if there is none. */
    public Optional<RouteRule> route(Target target, String method, String path) {
        return routes.stream()
                .filter(rule -> rule.matches(target, method, path))
                .findFirst();
    }

    private static void requireUnique(String field, List<String> names) {
        Set<String> uniqueNames = new HashSet<>();
        for (String name : names) {
            if (!uniqueNames.add(name)) {
                throw new InvalidArgumentException(field, name, "a unique name");
            }
        }
    }
}

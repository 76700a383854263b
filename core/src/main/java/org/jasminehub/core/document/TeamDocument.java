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
 * What one team runs and how its traffic is treated; immutable.
 *
 * @param schemaVersion the version of this schema, {@value #SCHEMA_VERSION}
 * @param team the team's name
 * @param workspaces the workspaces it serves
 * @param routes its routes; a request takes the first that matches
 * @param experts how it weighs balanced ranks against moves
 */
public record TeamDocument(
        int schemaVersion, String team, List<WorkspaceRule> workspaces, List<RouteRule> routes, ExpertRule experts) {
    /** The schema version that this program reads. */
    public static final int SCHEMA_VERSION = 1;

    /** Creates a checked document. */
    public TeamDocument {
        Checks.that(schemaVersion == SCHEMA_VERSION, "schemaVersion", schemaVersion, "" + SCHEMA_VERSION);
        Checks.notBlank("team", team);
        requireUnique("workspaces", workspaces.stream().map(WorkspaceRule::name).toList());
        requireUnique("routes", routes.stream().map(RouteRule::name).toList());
        workspaces = List.copyOf(workspaces);
        routes = List.copyOf(routes);
    }

    /** Returns the team's name as an identity. */
    public TeamId teamId() {
        return new TeamId(team);
    }

    /** Returns the rule of {@code workspace}, or nothing where this document does not name it. */
    public Optional<WorkspaceRule> workspace(WorkspaceId workspace) {
        return workspaces.stream()
                .filter(rule -> rule.name().equals(workspace.value()))
                .findFirst();
    }

    /** Returns the first route that takes the request, or nothing. */
    public Optional<RouteRule> route(Target target, String method, String path) {
        return routes.stream()
                .filter(rule -> rule.matches(target, method, path))
                .findFirst();
    }

    private static void requireUnique(String place, List<String> names) {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                throw new InvalidArgumentException(place, name, "a name that stands only once");
            }
        }
    }
}

package org.jasminehub.core.operation;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jasminehub.core.internal.Checks;

/**
 * Maps the operation keys of a service to their homes, the agents that are responsible for them.
 *
 * <p>Uses rendezvous hashing over the names of the agents, so adding or removing an agent moves only that agent's keys.
 *
 * @param service the service
 * @param epoch the number of the table, counted from 1 without gaps
 * @param members the agents, each with the incarnation that is responsible for its keys
 */
public record HomeTable(String service, long epoch, List<AgentIncarnation> members) {
    /** Creates a table; throws if the service is blank or the epoch is not positive. */
    public HomeTable {
        Checks.notBlank("service", service);
        Checks.positive("epoch", epoch);
        members = List.copyOf(members);
    }

    /** Returns the home of {@code id}, or empty if the table has no members. */
    public Optional<AgentIncarnation> home(OperationId id) {
        return members.stream()
                .max(Comparator.<AgentIncarnation>comparingLong(member -> score(id, member))
                        .thenComparing(AgentIncarnation::agent));
    }

    /** Returns whether {@code member} is the home of {@code id}. */
    public boolean isHome(AgentIncarnation member, OperationId id) {
        return home(id).filter(member::equals).isPresent();
    }

    private static long score(OperationId id, AgentIncarnation member) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(id.workspace().value(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(id.key(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(member.agent().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}

package org.jasminehub.core.operation;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jasminehub.core.internal.Checks;

/**
 * Which agent answers for which operation key of a service; the key's home.
 *
 * <p>Rendezvous hashing over the agents' names, so a change of one agent moves only its keys.
 *
 * @param service the service
 * @param epoch the table's number, counted from 1 without gaps
 * @param members the agents, each with the incarnation that holds its keys
 */
public record HomeTable(String service, long epoch, List<AgentIncarnation> members) {
    /** Creates a checked table. */
    public HomeTable {
        Checks.notBlank("service", service);
        Checks.positive("epoch", epoch);
        members = List.copyOf(members);
    }

    /** Returns the home of {@code id}, or nothing where the table is empty. */
    public Optional<AgentIncarnation> home(OperationId id) {
        return members.stream()
                .max(Comparator.<AgentIncarnation>comparingLong(member -> score(id, member))
                        .thenComparing(AgentIncarnation::agent));
    }

    /** Tells whether {@code member} is the home of {@code id}. */
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

package org.jasminehub.core.experts.change;

import java.util.Optional;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.experts.ExpertEventKind;

/**
 * The event of a phase transition of a map change.
 *
 * @param group the name of the group
 * @param from the previous phase
 * @param to the new phase
 * @param mapVersion the map version in use, or in use before the open change
 * @param nextVersion the map version of the open change
 * @param fencingNumber the fencing number of the lease holder
 */
public record ChangePhaseEvent(
        String group, ChangePhase from, ChangePhase to, long mapVersion, long nextVersion, long fencingNumber)
        implements Event {
    /** Returns the event for the transition from {@code before} to {@code after}, or empty if the phase is the same. */
    public static Optional<ChangePhaseEvent> between(String group, ChangeState before, ChangeState after) {
        if (before.phase() == after.phase()) {
            return Optional.empty();
        }
        return Optional.of(new ChangePhaseEvent(
                group,
                before.phase(),
                after.phase(),
                after.mapVersion(),
                Math.max(before.nextVersion(), after.nextVersion()),
                after.fencingNumber()));
    }

    @Override
    public EventKind kind() {
        return ExpertEventKind.CHANGE_PHASE;
    }
}

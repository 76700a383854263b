package org.jasminehub.core.experts.change;

import java.util.Optional;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.experts.ExpertEventKind;

/**
 * A holder's step from one phase to another.
 *
 * @param group the group
 * @param from the phase it left
 * @param to the phase it entered
 * @param mapVersion the version in use, or in use before the open change
 * @param nextVersion the version of the open change
 * @param fencingNumber the holder's number
 */
public record ChangePhaseEvent(
        String group, ChangePhase from, ChangePhase to, long mapVersion, long nextVersion, long fencingNumber)
        implements Event {
    /** Returns the event for a step from {@code before} to {@code after}, or nothing where the phase stays. */
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

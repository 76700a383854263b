package org.jasminehub.entry.control;

import java.util.List;
import java.util.function.Consumer;
import org.jasminehub.core.membership.Member;
import org.jasminehub.platform.list.InstanceListService;

/** Reads the platform's list of instances; all methods run on the control thread. */
public final class MembershipController {
    private final ControlThread control;
    private final InstanceListService list;
    private final Consumer<List<Member>> onMembers;

    /** Creates a controller that hands each new list to {@code onMembers}, on the control thread. */
    public MembershipController(ControlThread control, InstanceListService list, Consumer<List<Member>> onMembers) {
        this.control = control;
        this.list = list;
        this.onMembers = onMembers;
    }

    /** Reads the list once; its answer is taken in when it arrives, a failure leaves what is known. */
    public void refresh() {
        list.fetch().thenAcceptAsync(this::accept, control);
    }

    private void accept(List<Member> members) {
        control.update(state -> state.withMembers(members));
        onMembers.accept(members);
    }
}

package org.jasminehub.gateway.experts;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Events of expert maps; numbers 8500 to 8599. */
public enum ExpertEventKind implements EventKind {
    /** A new map was planned. */
    MAP_PLANNED(8500, Severity.INFO, "A new map is worth its copies and is being prepared."),
    /** A group uses a new map. */
    MAP_IN_USE(8501, Severity.INFO, "All ranks of a group use a new map."),
    /** An order failed. */
    ORDER_FAILED(8502, Severity.WARNING, "A rank refused an order or did not answer it."),
    /** Coordination began or ended here. */
    COORDINATION_CHANGED(8503, Severity.INFO, "This instance began or ceased to place experts."),
    /** An engine was reached without its agent. */
    ENGINE_REACHED_DIRECTLY(
            8505, Severity.WARNING, "An agent is silent in the middle of a change; its engine answered."),
    /** An engine does not answer its agent. */
    ENGINE_UNREADABLE(8504, Severity.WARNING, "An engine did not answer its agent, or not readably.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    ExpertEventKind(int number, Severity severity, String meaning) {
        this.number = number;
        this.severity = severity;
        this.meaning = meaning;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Severity severity() {
        return severity;
    }

    @Override
    public String meaning() {
        return meaning;
    }
}

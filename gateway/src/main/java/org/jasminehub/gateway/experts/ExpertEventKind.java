package org.jasminehub.gateway.experts;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Kinds of events about expert maps; their numbers are 8500 to 8599. */
public enum ExpertEventKind implements EventKind {
    /** A new map was planned and is being prepared. */
    MAP_PLANNED(8500, Severity.INFO, "A new map is worth its copies and is being prepared."),
    /** All ranks of a group use a new map. */
    MAP_IN_USE(8501, Severity.INFO, "All ranks of a group use a new map."),
    /** A rank refused an order or did not answer it. */
    ORDER_FAILED(8502, Severity.WARNING, "A rank refused an order or did not answer it."),
    /** This instance started or stopped placing experts. */
    COORDINATION_CHANGED(8503, Severity.INFO, "This instance began or ceased to place experts."),
    /** An engine answered a direct call while its agent was silent. */
    ENGINE_REACHED_DIRECTLY(
            8505, Severity.WARNING, "An agent is silent in the middle of a change; its engine answered."),
    /** An engine did not answer its agent, or sent an unreadable response. */
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

package org.jasminehub.core.membership;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.internal.Checks;

/**
 * A model or plain service that endpoints serve, written as {@code model/NAME} or {@code service/NAME}.
 *
 * @param kind whether the target is a model or a plain service
 * @param name the name of the model or service
 */
public record Target(TargetKind kind, String name) {
    /** Creates a target and validates its components. */
    public Target {
        Checks.notBlank("target", name);
    }

    /** Returns the target for the model {@code name}. */
    public static Target model(String name) {
        return new Target(TargetKind.MODEL, name);
    }

    /** Returns the target for the plain service {@code name}. */
    public static Target service(String name) {
        return new Target(TargetKind.SERVICE, name);
    }

    /** Parses a target from its text form. */
    @JsonCreator
    public static Target parse(String text) {
        for (TargetKind kind : TargetKind.values()) {
            String prefix = kind.label() + "/";
            if (text.startsWith(prefix)) {
                return new Target(kind, text.substring(prefix.length()));
            }
        }
        throw new InvalidArgumentException("target", text, "model/NAME or service/NAME");
    }

    @JsonValue
    @Override
    public String toString() {
        return kind.label() + "/" + name;
    }
}

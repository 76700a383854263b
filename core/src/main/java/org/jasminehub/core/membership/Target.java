package org.jasminehub.core.membership;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.internal.Checks;

/**
 * What endpoints serve: a model or a plain service; written {@code model/NAME} or {@code service/NAME}.
 *
 * @param kind whether it is a model or a plain service
 * @param name its name
 */
public record Target(TargetKind kind, String name) {
    /** Creates a checked target. */
    public Target {
        Checks.notBlank("target", name);
    }

    /** Returns the target of a model. */
    public static Target model(String name) {
        return new Target(TargetKind.MODEL, name);
    }

    /** Returns the target of a plain service. */
    public static Target service(String name) {
        return new Target(TargetKind.SERVICE, name);
    }

    /** Returns the target that {@code text} names. */
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

package org.jasminehub.core.yaml;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.Arrays;
import java.util.Collection;
import java.util.stream.Collectors;
import org.jasminehub.core.error.InvalidArgumentException;

/**
 * Reads YAML into records and rejects unknown, missing and duplicate keys and values of the wrong type.
 *
 * <pre>{@code
 * TeamDocument document = new StrictYamlReader().read(text, TeamDocument.class);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class StrictYamlReader {
    private static final int MAX_SHOWN_CHARACTERS = 60;
    private static final String MISSING_KEY_MESSAGE = "Missing creator property";

    private final ObjectMapper mapper;

    /** Creates a reader. */
    public StrictYamlReader() {
        this.mapper = YAMLMapper.builder(new YAMLFactory())
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .withCoercionConfig(
                        LogicalType.Integer,
                        config -> config.setCoercion(CoercionInputShape.Float, CoercionAction.Fail))
                .build();
    }

    /**
     * Returns the record that {@code text} describes.
     *
     * @throws YamlException if the text is not valid YAML or does not match {@code type}
     */
    public <T> T read(String text, Class<T> type) {
        try {
            T value = mapper.readValue(text, type);
            if (value == null) {
                throw new YamlException(new YamlFailure("(root)", 1, "nothing", "a mapping"));
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new YamlException(describe(e));
        }
    }

    private static YamlFailure describe(JsonProcessingException failure) {
        int line = lineOf(failure.getLocation());
        if (failure instanceof UnrecognizedPropertyException unknown) {
            return new YamlFailure(
                    pathOf(unknown), line, "an unknown key", "one of " + sorted(unknown.getKnownPropertyIds()));
        }
        if (failure instanceof InvalidFormatException format) {
            return new YamlFailure(
                    pathOf(format), line, "\"" + format.getValue() + "\"", nameOf(format.getTargetType()));
        }
        if (failure instanceof ValueInstantiationException instantiation
                && instantiation.getCause() instanceof InvalidArgumentException argument) {
            return new YamlFailure(
                    pathOf(instantiation), line, "a value out of range", String.valueOf(argument.getMessage()));
        }
        if (failure instanceof MismatchedInputException mismatch) {
            return new YamlFailure(pathOf(mismatch), line, firstLine(mismatch), nameOf(mismatch.getTargetType()));
        }
        return new YamlFailure("(root)", line, firstLine(failure), "valid YAML");
    }

    private static int lineOf(JsonLocation location) {
        return location == null ? 0 : location.getLineNr();
    }

    private static String firstLine(JsonProcessingException failure) {
        String line = failure.getOriginalMessage().lines().findFirst().orElse("an unreadable value");
        return line.startsWith(MISSING_KEY_MESSAGE) ? "no such key" : line;
    }

    private static String nameOf(Class<?> type) {
        if (type == null) {
            return "another value";
        }
        if (type.isEnum()) {
            return "one of "
                    + Arrays.stream(type.getEnumConstants())
                            .map(Object::toString)
                            .collect(Collectors.joining(", "));
        }
        return "a value of type " + type.getSimpleName();
    }

    private static String sorted(Collection<Object> keys) {
        String all = keys.stream().map(Object::toString).sorted().collect(Collectors.joining(", "));
        return all.length() > MAX_SHOWN_CHARACTERS * 4 ? all.substring(0, MAX_SHOWN_CHARACTERS * 4) + "…" : all;
    }

    private static String pathOf(JsonMappingException failure) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : failure.getPath()) {
            if (reference.getFieldName() == null) {
                path.append('[').append(reference.getIndex()).append(']');
            } else {
                path.append(path.isEmpty() ? "" : ".").append(reference.getFieldName());
            }
        }
        return path.isEmpty() ? "(root)" : path.toString();
    }
}

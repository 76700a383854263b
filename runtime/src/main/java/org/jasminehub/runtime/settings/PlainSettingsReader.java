package org.jasminehub.runtime.settings;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reads settings files that use only a small part of YAML into records, without a YAML library.
 *
 * <p>The library and its object mapper need 0.1 s of CPU time at the start of a process. This reader accepts
 * {@code key: value} lines with double-quoted texts without escapes, whole and decimal numbers and lists of such texts,
 * and sections of lines indented by two spaces. It returns nothing for any other text, for an unknown, missing or
 * repeated key and for a value that the record rejects, so that all errors are described by the YAML reader.
 */
final class PlainSettingsReader {
    private static final String INDENT = "  ";
    private static final String TEXT_LIST = "Ljava/util/List<Ljava/lang/String;>;";

    /** Numbers of up to 9 digits fit an {@code int}. */
    private static final int MAX_DIGITS = 9;

    private PlainSettingsReader() {}

    /** Returns the record that {@code text} describes, or null if the text has to be read by the YAML reader. */
    static <T> @Nullable T read(String text, Class<T> type) {
        Map<String, Object> values = isPlain(text) ? parse(text) : null;
        return values == null ? null : create(type, values);
    }

    /** Returns whether the text is printable ASCII; YAML has further line breaks, which also end a comment. */
    private static boolean isPlain(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < ' ' || c > '~') && c != '\n') {
                return false;
            }
        }
        return true;
    }

    /** Returns the values by key; those of a section are a map. */
    private static @Nullable Map<String, Object> parse(String text) {
        Map<String, Object> root = new HashMap<>();
        Map<String, Object> section = null;
        for (String line : text.split("\n", -1)) {
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            boolean isIndented = line.startsWith(INDENT);
            String entry = isIndented ? line.substring(INDENT.length()) : line;
            int colon = entry.indexOf(':');
            if (colon <= 0 || !isKey(entry, colon) || (isIndented && section == null)) {
                return null;
            }
            String key = entry.substring(0, colon);
            Object value;
            if (colon == entry.length() - 1 && !isIndented) {
                section = new HashMap<>();
                value = section;
            } else {
                value = entry.startsWith(": ", colon) ? value(entry.substring(colon + 2)) : null;
            }
            Map<String, Object> target = isIndented ? section : root;
            if (value == null || target == null || target.put(key, value) != null) {
                return null;
            }
            section = isIndented || value == section ? section : null;
        }
        return root;
    }

    private static boolean isKey(String entry, int end) {
        for (int i = 0; i < end; i++) {
            char c = entry.charAt(i);
            if ((c < 'a' || c > 'z') && (c < 'A' || c > 'Z')) {
                return false;
            }
        }
        return true;
    }

    private static @Nullable Object value(String text) {
        if (text.startsWith("\"")) {
            return endOfText(text, 0) == text.length() ? text.substring(1, text.length() - 1) : null;
        }
        return text.startsWith("[") ? texts(text) : number(text);
    }

    /** Returns the index after the quoted text that starts at {@code start}, or -1 if there is none. */
    private static int endOfText(String text, int start) {
        if (start >= text.length() || text.charAt(start) != '"') {
            return -1;
        }
        for (int i = start + 1; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"') {
                return i + 1;
            }
            if (c == '\\') {
                return -1;
            }
        }
        return -1;
    }

    /** Returns the elements of a list of quoted texts, with or without a space after each comma. */
    private static @Nullable List<String> texts(String text) {
        List<String> elements = new ArrayList<>();
        if (text.equals("[]")) {
            return elements;
        }
        int start = 1;
        while (true) {
            int end = endOfText(text, start);
            if (end < 0 || end >= text.length()) {
                return null;
            }
            elements.add(text.substring(start + 1, end - 1));
            if (text.charAt(end) == ']') {
                return end == text.length() - 1 ? elements : null;
            }
            if (text.charAt(end) != ',') {
                return null;
            }
            start = text.startsWith(" ", end + 1) ? end + 2 : end + 1;
        }
    }

    /** Returns an {@code Integer} or a {@code Double}; leading zeros and exponents are left to the YAML reader. */
    private static @Nullable Number number(String text) {
        int digits = 0;
        int point = -1;
        int start = text.startsWith("-") ? 1 : 0;
        for (int i = start; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.' && point < 0) {
                point = i;
            } else if (c >= '0' && c <= '9') {
                digits++;
            } else {
                return null;
            }
        }
        int wholeEnd = point < 0 ? text.length() : point;
        boolean hasLeadingZero = text.startsWith("0", start) && wholeEnd > start + 1;
        if (digits == 0 || wholeEnd == start || point == text.length() - 1 || hasLeadingZero) {
            return null;
        }
        if (point >= 0) {
            return Double.valueOf(text);
        }
        return digits <= MAX_DIGITS ? Integer.valueOf(text) : null;
    }

    private static <T> @Nullable T create(Class<T> type, Map<?, ?> values) {
        RecordComponent[] components = type.getRecordComponents();
        if (components == null || components.length != values.size()) {
            return null;
        }
        Class<?>[] types = new Class<?>[components.length];
        Object[] arguments = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            Object argument = convert(components[i], values.get(components[i].getName()));
            if (argument == null) {
                return null;
            }
            arguments[i] = argument;
        }
        try {
            return type.getDeclaredConstructor(types).newInstance(arguments);
        } catch (InvocationTargetException e) {
            // The record rejects a value; the YAML reader states which one.
            return null;
        } catch (ReflectiveOperationException e) {
            return null;
        }
    }

    private static @Nullable Object convert(RecordComponent component, @Nullable Object value) {
        Class<?> type = component.getType();
        if (value instanceof Integer number) {
            return type == int.class ? number : type == double.class ? (Object) number.doubleValue() : null;
        }
        if (value instanceof Double) {
            return type == double.class ? value : null;
        }
        if (value instanceof String) {
            return type == String.class ? value : null;
        }
        if (value instanceof List) {
            return TEXT_LIST.equals(component.getGenericSignature()) ? value : null;
        }
        return value instanceof Map<?, ?> section && type.isRecord() ? create(type, section) : null;
    }
}

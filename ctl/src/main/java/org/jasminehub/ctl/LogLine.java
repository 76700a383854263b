package org.jasminehub.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One line of a collected log.
 *
 * @param timeMillis when it happened, 0 where the line does not say
 * @param order its place in the files as given, which decides between equal times
 * @param fields the line's fields
 */
record LogLine(long timeMillis, int order, ObjectNode fields) {
    String text(String field) {
        return fields.path(field).asText("");
    }

    String name() {
        return text("name");
    }

    String instance() {
        return text("instance");
    }
}

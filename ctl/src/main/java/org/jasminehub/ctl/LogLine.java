package org.jasminehub.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One line of a collected log.
 *
 * @param timeMillis the time of the event in milliseconds since 1970, 0 if the line has none
 * @param position the position of the line in the files, in the order in which they were given; orders lines of equal
 *     time
 * @param fields the fields of the line
 */
record LogLine(long timeMillis, int position, ObjectNode fields) {
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

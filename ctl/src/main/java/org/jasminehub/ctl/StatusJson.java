package org.jasminehub.ctl;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * The status that an entry instance reports.
 *
 * @param instance the name of the instance
 * @param current whether its documents are known to be up to date with the log
 * @param documents the versions that are in force on it
 * @param members the instances in its view of the membership
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record StatusJson(String instance, boolean current, List<VersionJson> documents, List<MemberJson> members) {
    StatusJson {
        documents = List.copyOf(documents);
        members = List.copyOf(members);
    }

    /** The version of a team's document that is in force. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record VersionJson(String team, long version) {}

    /** An instance of the fleet. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record MemberJson(String id, String role, String state, String host, int callerPort) {
        boolean isEntry() {
            return role.equals("ENTRY");
        }

        String address() {
            return host + ":" + callerPort;
        }
    }
}

package org.jasminehub.ctl;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * What an entry instance says of itself.
 *
 * @param instance its name
 * @param current whether it knows that its documents are the newest
 * @param documents the versions that it has in force
 * @param members the instances that it knows
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record StatusJson(String instance, boolean current, List<VersionJson> documents, List<MemberJson> members) {
    StatusJson {
        documents = List.copyOf(documents);
        members = List.copyOf(members);
    }

    /** A team's version in force. */
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

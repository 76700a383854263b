package org.jasminehub.entry.control;

import com.google.common.collect.ImmutableListMultimap;
import java.util.List;
import org.jasminehub.core.document.DocumentInForce;
import org.jasminehub.core.document.WorkspaceRule;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;

/**
 * An immutable snapshot of the documents and members that an entry instance knows; read by traffic threads without
 * locks.
 *
 * <pre>{@code
 * List<DocumentInForce> documents = state.documentsOf(workspace);
 * }</pre>
 */
public final class ControlState {
    private final List<DocumentInForce> documents;
    private final List<Member> members;
    private final boolean current;
    private final ImmutableListMultimap<WorkspaceId, DocumentInForce> byWorkspace;

    /** Creates a state; {@code current} is true if the documents are known to be up to date. */
    public ControlState(List<DocumentInForce> documents, List<Member> members, boolean current) {
        this.documents = List.copyOf(documents);
        this.members = List.copyOf(members);
        this.current = current;
        this.byWorkspace = index(this.documents);
    }

    /** Returns the initial state: no documents, no members, not up to date. */
    public static ControlState empty() {
        return new ControlState(List.of(), List.of(), false);
    }

    /** Returns a copy of this state with its documents replaced. */
    public ControlState withDocuments(List<DocumentInForce> newDocuments, boolean isCurrent) {
        return new ControlState(newDocuments, members, isCurrent);
    }

    /** Returns a copy of this state with its members replaced. */
    public ControlState withMembers(List<Member> newMembers) {
        return new ControlState(documents, newMembers, current);
    }

    /** Returns the documents in force. */
    public List<DocumentInForce> documents() {
        return documents;
    }

    /** Returns the documents in force that contain a rule for {@code workspace}. */
    public List<DocumentInForce> documentsOf(WorkspaceId workspace) {
        return byWorkspace.get(workspace);
    }

    /** Returns all known members. */
    public List<Member> members() {
        return members;
    }

    /** Returns the members that have {@code role}. */
    public List<Member> membersOf(MemberRole role) {
        return members.stream().filter(member -> member.role() == role).toList();
    }

    /** Returns whether the documents are known to be up to date. */
    public boolean isCurrent() {
        return current;
    }

    private static ImmutableListMultimap<WorkspaceId, DocumentInForce> index(List<DocumentInForce> documents) {
        ImmutableListMultimap.Builder<WorkspaceId, DocumentInForce> index = ImmutableListMultimap.builder();
        for (DocumentInForce document : documents) {
            for (WorkspaceRule workspace : document.document().workspaces()) {
                index.put(workspace.workspaceId(), document);
            }
        }
        return index.build();
    }
}

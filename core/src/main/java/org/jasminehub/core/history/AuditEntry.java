package org.jasminehub.core.history;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One accepted publish in an audit trail.
 *
 * @param sequence the position among all accepted publishes, from 1
 * @param version the version, which is the offset of the accepted record
 * @param team the name of the team
 * @param baseVersion the version that was replaced, or {@link HistoryState#NO_VERSION}
 * @param nonce the nonce of the accepted record
 * @param operator the operator who published
 * @param reason the reason for the change
 * @param wallMillis the wall-clock time on the operator's machine
 * @param documentSha256 the SHA-256 hash of the document text
 * @param previousHash the hash of the previous entry
 * @param hash the hash of all fields above
 */
public record AuditEntry(
        long sequence,
        long version,
        String team,
        long baseVersion,
        String nonce,
        String operator,
        String reason,
        long wallMillis,
        String documentSha256,
        String previousHash,
        String hash) {
    /** Returns the chain head after this entry. */
    @JsonIgnore
    public ChainHead head() {
        return new ChainHead(sequence, hash);
    }

    AuditEntry withHash(String newHash) {
        return new AuditEntry(
                sequence,
                version,
                team,
                baseVersion,
                nonce,
                operator,
                reason,
                wallMillis,
                documentSha256,
                previousHash,
                newHash);
    }
}

package org.jasminehub.core.history;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One accepted publish as auditors see it.
 *
 * @param sequence its place among all accepted publishes, from 1
 * @param version the offset of its record
 * @param team the team's name
 * @param baseVersion the version that it replaced, or {@link HistoryState#NO_VERSION}
 * @param nonce the record's nonce
 * @param operator who published
 * @param reason why
 * @param wallMillis when, by the operator's clock
 * @param documentSha256 the hash of the document's text
 * @param previousHash the hash of the entry before it
 * @param hash the hash over all fields above
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
    /** Returns the chain's head after this entry. */
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

package org.jasminehub.core.history;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.jasminehub.core.internal.Checks;

/**
 * The head of the hash chain over all accepted publishes.
 *
 * <p>Immutable.
 *
 * <pre>{@code
 * AuditEntry entry = ChainHead.START.extend(offset, publish);
 * ChainHead next = entry.head();
 * }</pre>
 *
 * @param count the number of accepted publishes
 * @param hash the hash of the last accepted publish, in hexadecimal
 */
public record ChainHead(long count, String hash) {
    /** The head of an empty history. */
    public static final ChainHead START = new ChainHead(0, "0".repeat(64));

    /** Validates the components. */
    public ChainHead {
        Checks.notNegative("count", count);
        Checks.notBlank("hash", hash);
    }

    /** Returns the audit entry that follows this head for {@code publish}, accepted at {@code offset}. */
    public AuditEntry extend(long offset, PublishRecord publish) {
        AuditEntry unhashed = new AuditEntry(
                count + 1,
                offset,
                publish.team(),
                publish.baseVersion(),
                publish.nonce(),
                publish.operator(),
                publish.reason(),
                publish.wallMillis(),
                sha256(publish.documentText()),
                hash,
                hash);
        return unhashed.withHash(hashOf(unhashed));
    }

    /** Computes the hash of {@code entry} from all its other fields. */
    static String hashOf(AuditEntry entry) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putLong(entry.sequence()).putLong(entry.version()).putLong(entry.baseVersion());
        hasher.putLong(entry.wallMillis());
        putText(hasher, entry.team());
        putText(hasher, entry.nonce());
        putText(hasher, entry.operator());
        putText(hasher, entry.reason());
        putText(hasher, entry.documentSha256());
        putText(hasher, entry.previousHash());
        return hasher.hash().toString();
    }

    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }

    private static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}

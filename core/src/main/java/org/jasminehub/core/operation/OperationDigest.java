package org.jasminehub.core.operation;

import com.google.common.hash.Hashing;

/** Tells a repeat of a request from another request under the same key. */
public final class OperationDigest {
    private OperationDigest() {}

    /** Returns the digest of a request. */
    public static String of(String method, String path, byte[] body) {
        return Hashing.sha256()
                .newHasher()
                .putUnencodedChars(method)
                .putChar(' ')
                .putUnencodedChars(path)
                .putChar('\n')
                .putBytes(body)
                .hash()
                .toString();
    }
}

package org.jasminehub.core.operation;

import com.google.common.hash.Hashing;

/** Computes digests that distinguish a retry from a different request with the same key. */
public final class OperationDigest {
    private OperationDigest() {}

    /** Returns the SHA-256 digest of a request's method, path and body, in hexadecimal. */
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

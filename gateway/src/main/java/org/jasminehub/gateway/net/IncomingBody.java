package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.jasminehub.core.intake.MemoryAccount;

/** The body of the request that a connection receives, and the memory that is reserved for it. */
final class IncomingBody {
    private final MemoryAccount account;
    private RequestBody content = new RequestBody();
    private long announcedBytes;
    private long receivedBytes;
    private long reservedBytes;
    private boolean isKept;

    /** Creates an empty body whose memory is reserved in {@code account}. */
    IncomingBody(MemoryAccount account) {
        this.account = account;
    }

    /** Prepares for the body of {@code request}. */
    void begin(HttpRequest request) {
        announcedBytes = HttpUtil.getContentLength(request, -1L);
        receivedBytes = 0;
        content = new RequestBody();
        isKept = announcedBytes >= 0
                ? announcedBytes <= BoundedReads.MAX_READ_BYTES
                : !HttpUtil.isTransferEncodingChunked(request);
    }

    /** Returns the stated length, negative if the request states none. */
    long announcedBytes() {
        return announcedBytes;
    }

    /** Returns the bytes received so far, also if they are not kept. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Returns whether the body is kept until it is complete; a small one always is, as a decision would cost more. */
    boolean isKept() {
        return isKept;
    }

    /** Keeps the body; reserves the memory of a stated length at once and returns whether there is enough. */
    boolean keep() {
        isKept = true;
        return announcedBytes <= 0 || reserve(announcedBytes);
    }

    /** Adds {@code part} unless the body is not kept; returns whether there is enough memory. */
    boolean append(ByteBuf part) {
        receivedBytes += part.readableBytes();
        boolean isAnnounced = announcedBytes >= 0;
        long remainingBytes = isAnnounced ? announcedBytes - content.length() : -1;
        return !isKept || content.append(part, remainingBytes, size -> isAnnounced || reserve(size));
    }

    private boolean reserve(long bytes) {
        boolean isReserved = account.tryReserve(bytes);
        reservedBytes += isReserved ? bytes : 0;
        return isReserved;
    }

    /** Returns what was kept; its memory stays reserved until {@link #release}. */
    RequestBody take() {
        RequestBody taken = isKept ? content : RequestBody.DISCARDED;
        content = new RequestBody();
        return taken;
    }

    /** Drops the body and releases its memory. */
    void release() {
        content = new RequestBody();
        account.release(reservedBytes);
        reservedBytes = 0;
    }
}

package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.IntPredicate;
import org.jasminehub.core.intake.MemoryAccount;

/**
 * Decodes requests one at a time, and nothing that a client has sent before there is memory for it.
 *
 * <p>A head is parsed once it is complete and its memory is reserved. After the end of a request, the bytes that follow
 * stay unparsed until {@link #resume}. An ambiguous body length is not hidden: Content-Length and Transfer-Encoding are
 * both kept.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** Bytes behind a request above which reading stops until its response is sent. */
    private static final int MAX_BYTES_BEHIND = BoundedReads.MAX_READ_BYTES;

    /** The superclass limits request line and fields separately and does not count all their bytes. */
    private static final int MAX_RAW_HEADS = 4;

    private final int maxRawHeadBytes;
    private final MemoryAccount account;
    private final RequestHeadScanner scanner = new RequestHeadScanner();
    private IntPredicate mayDiscard = bytes -> true;
    private long rawBytes;
    private long headBytes;
    private boolean isInBody;
    private boolean isPaused;
    private boolean isDiscarding;

    /** Creates a decoder that reserves memory in {@code account}. */
    StrictRequestDecoder(int maxHeadBytes, MemoryAccount account) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeadBytes)
                .setMaxHeaderSize(maxHeadBytes)
                .setTrailersFactory(DiscardedTrailers.FACTORY));
        this.maxRawHeadBytes = MAX_RAW_HEADS * maxHeadBytes;
        this.account = account;
    }

    /** Returns whether the head of a request has been received that is not parsed yet. */
    boolean hasUnparsedHead() {
        if (isInBody) {
            return false;
        }
        RequestHeadScanner.skipBlank(internalBuffer());
        return scanner.scan(internalBuffer());
    }

    /** Parses the next request; called when the previous one has its response. */
    void resume(ChannelHandlerContext context) {
        account.release(headBytes);
        headBytes = 0;
        isPaused = false;
        context.channel().config().setAutoRead(true);
        channelRead(context, Unpooled.EMPTY_BUFFER);
    }

    /**
     * Discards all bytes from now on.
     *
     * @param isAllowed receives the number of bytes of each read and returns whether reading may go on; otherwise the
     *     connection is closed
     */
    void discard(IntPredicate isAllowed) {
        mayDiscard = isAllowed;
        isDiscarding = true;
        account.release(headBytes);
        headBytes = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (isDiscarding && message instanceof ByteBuf bytes) {
            boolean isAllowed = mayDiscard.test(bytes.readableBytes());
            ReferenceCountUtil.release(bytes);
            if (!isAllowed) {
                context.close();
            }
            return;
        }
        try {
            super.channelRead(context, message);
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
        reserveRawBytes(context);
    }

    /** Reserves memory for the bytes that are not parsed yet; the buffer that holds them may be larger. */
    private void reserveRawBytes(ChannelHandlerContext context) {
        long capacityBytes = internalBuffer().capacity();
        if (capacityBytes <= rawBytes) {
            account.release(rawBytes - capacityBytes);
            rawBytes = capacityBytes;
        } else if (account.tryReserve(capacityBytes - rawBytes)) {
            rawBytes = capacityBytes;
        } else if (isPaused) {
            context.channel().config().setAutoRead(false);
        } else {
            context.fireChannelRead(refusal());
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (isDiscarding) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (isPaused) {
            if (buffer.readableBytes() >= MAX_BYTES_BEHIND) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        if (!isInBody && !prepareHead(buffer, out)) {
            return;
        }
        super.decode(context, buffer, out);
        Object last = out.isEmpty() ? null : out.get(out.size() - 1);
        if (last instanceof LastHttpContent) {
            isInBody = false;
            isPaused = true;
            scanner.reset();
        } else if (last instanceof HttpRequest) {
            isInBody = true;
        }
    }

    /** Returns whether the head at the beginning of {@code buffer} can be parsed now. */
    private boolean prepareHead(ByteBuf buffer, List<Object> out) {
        RequestHeadScanner.skipBlank(buffer);
        boolean isParsable = scanner.scan(buffer) || buffer.readableBytes() >= maxRawHeadBytes;
        if (!isParsable || headBytes > 0) {
            return isParsable;
        }
        if (!account.tryReserve(scanner.parsedBytes())) {
            buffer.skipBytes(buffer.readableBytes());
            out.add(refusal());
            return false;
        }
        headBytes = scanner.parsedBytes();
        return true;
    }

    private static HttpRequest refusal() {
        HttpRequest refusal = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        refusal.setDecoderResult(DecoderResult.failure(new InsufficientMemoryException(
                "clients hold all the memory that they may, so the request was not read")));
        return refusal;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // The superclass would remove Content-Length; it is kept so that RequestValidator rejects the request.
    }
}

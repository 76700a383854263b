package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes responses.
 *
 * <p>Each line of a head and each trailer must have the form that RFC 9112 gives it. The superclass repairs some lines
 * that have not, or takes them for other lines: a status of other than three digits, a blank in or behind the name of a
 * field, a line that begins with a blank. Such a response is delivered with a failed {@link
 * io.netty.handler.codec.DecoderResult}.
 *
 * <p>A response with neither a length nor chunks ends where its sender ends the connection, and only if that end was
 * read. The channel must have {@link io.netty.channel.ChannelOption#ALLOW_HALF_CLOSURE} set, which reports such an end
 * as an event. Without the event, a closed channel leaves the response unfinished: it was reset, a write failed, or this
 * process closed it.
 *
 * <p>Reports whether bytes were received after a complete response, and expects no body in a response to HEAD.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");
    private static final Pattern STATUS = Pattern.compile("[1-9][0-9]{2}");

    private static final int VERSION_WORD = 0;
    private static final int STATUS_WORD = 1;
    private static final byte DELETE = 0x7f;

    private final LineStartScanner lineStarts = new LineStartScanner();
    private boolean isRejected;
    /** The end of the word of the status line that was split off last. */
    private int wordEnd;

    private boolean isBodyForbidden;
    private boolean isFailed;
    private boolean isEndRead;

    void expectBody(boolean isExpected) {
        isBodyForbidden = !isExpected;
    }

    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (isRejected) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int start = buffer.readerIndex();
        super.decode(context, buffer, out);
        if (out.isEmpty() || !isContent(out.get(out.size() - 1))) {
            // All bytes that the superclass has consumed belong to lines of a head, of chunks or of trailers.
            lineStarts.scan(buffer, start, buffer.readerIndex());
        } else {
            lineStarts.onContent();
        }
        if (!out.isEmpty() && !lineStarts.isValid()) {
            isRejected = true;
            HttpMessage invalid = createInvalidMessage();
            invalid.setDecoderResult(DecoderResult.failure(
                    new DecoderException("a line begins with a blank, or an empty line precedes the status line")));
            out.clear();
            out.add(invalid);
        }
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            lineStarts.reset();
        }
    }

    private static boolean isContent(Object decoded) {
        return decoded instanceof HttpContent content
                ? content.content().isReadable()
                : !(decoded instanceof HttpResponse);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!VERSION.matcher(initialLine[VERSION_WORD]).matches()) {
            throw new DecoderException("not a version of HTTP/1: " + initialLine[VERSION_WORD]);
        }
        if (!STATUS.matcher(initialLine[STATUS_WORD]).matches()) {
            throw new DecoderException("not a status: " + initialLine[STATUS_WORD]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        wordEnd = start + length;
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        if (start != wordEnd + 1 || line[wordEnd] != ' ') {
            throw new DecoderException("version and status are not separated by a single space");
        }
        wordEnd = start + length;
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
        if (line[wordEnd] != ' ') {
            throw new DecoderException("status and reason are not separated by a space");
        }
        for (int index = wordEnd; index < start + length; index++) {
            boolean isControl = line[index] >= 0 && line[index] < ' ' && line[index] != '\t';
            if (isControl || line[index] == DELETE) {
                throw new DecoderException("the reason contains the control character " + line[index]);
            }
        }
        return super.splitThirdWordInitialLine(line, start, length);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        AsciiString name = super.splitHeaderName(line, start, length);
        int end = start + length;
        if (end >= line.length || line[end] != ':') {
            throw new DecoderException("the field name " + name + " is not followed by a colon");
        }
        return name;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Netty reports the end of the input after a failed read, too.
        isFailed = true;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        isEndRead = event instanceof ChannelInputShutdownEvent && !isFailed;
        super.userEventTriggered(context, event);
        isEndRead = false;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        // The superclass takes every close of the channel for the end of a response without a length.
        if (isEndRead) {
            super.decodeLast(context, buffer, out);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isBodyForbidden || super.isContentAlwaysEmpty(message);
    }
}

package org.jasminehub.gateway;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.PeerStatus;
import org.jasminehub.wire.generated.RankOrderKind;
import org.jasminehub.wire.generated.RankOrderRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against processes that run out of memory because of what arrives at the ports for other instances. */
final class PeerMessagesProcessTest {
    private static final int MESSAGE_BYTES = 1_000_000;

    /** Returns a script that announces a message and sends all of it but the last byte. */
    private static ClientCrowd.Script messageThatStopsShort() throws IOException {
        byte[] length = varint(MESSAGE_BYTES);
        return out -> {
            out.write(length);
            ClientBodiesProcessTest.write(out, MESSAGE_BYTES - 1, 64 << 10);
        };
    }

    /** Returns a script that sends a message with empty entries, each of which is an object once it is parsed. */
    private static ClientCrowd.Script messageOfEmptyEntries() throws IOException {
        byte[] entries = new byte[MESSAGE_BYTES];
        Arrays.fill(entries, (byte) 0);
        for (int index = 0; index < entries.length; index += 2) {
            entries[index] = PeerStatus.CALLS_FIELD_NUMBER << 3 | 2;
        }
        ByteArrayOutputStream envelope = new ByteArrayOutputStream();
        envelope.write(PeerEnvelope.PEER_STATUS_FIELD_NUMBER << 3 | 2);
        envelope.writeBytes(varint(entries.length));
        envelope.writeBytes(entries);
        return out -> {
            out.write(varint(envelope.size()));
            envelope.writeTo(out);
        };
    }

    private static byte[] varint(int value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.writeUInt32NoTag(value);
        out.flush();
        return bytes.toByteArray();
    }

    @Nested
    final class EntryInstance extends LimitedEntryFixture {
        @Test
        void testMessagesThatStopShortOfTheirEnd() throws Exception {
            checkBeside(200, GatewayProcess.PEER_PORT, messageThatStopsShort());
        }

        @Test
        void testMessagesOfEmptyEntries() throws Exception {
            checkBeside(8, GatewayProcess.PEER_PORT, messageOfEmptyEntries());
        }
    }

    @Nested
    final class RankAgent extends LimitedProcessFixture {
        /** The heap of the deployed rank agent, on a machine with 298 MB. */
        private static final int HEAP_MEGABYTES = 24;

        private static final int MEMORY_MEGABYTES = 298;
        private static final int PORT = 7_355;
        private static final int ORDER_ID = 7;

        RankAgent() {
            super(MEMORY_MEGABYTES);
        }

        @BeforeEach
        void startAgent() throws IOException {
            // Nothing listens at the engine's address, which the agent reports in its replies.
            startProcess(
                    Main.RANK_AGENT,
                    HEAP_MEGABYTES,
                    GatewayProcess.agentSettings("agent-1", host, PORT, host + ":1", store.address()));
        }

        @Override
        boolean isServing() {
            try (Socket socket = connect(PORT)) {
                PeerEnvelope.newBuilder()
                        .setRankOrderRequest(RankOrderRequest.newBuilder()
                                .setOrderId(ORDER_ID)
                                .setKind(RankOrderKind.RANK_HOLD))
                        .build()
                        .writeDelimitedTo(socket.getOutputStream());
                PeerEnvelope reply = PeerEnvelope.parseDelimitedFrom(socket.getInputStream());
                return reply != null && reply.getRankOrderReply().getOrderId() == ORDER_ID;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        boolean isServingLargeRequest() {
            return isServing();
        }

        @Test
        void testMessagesThatStopShortOfTheirEnd() throws Exception {
            checkBeside(60, PORT, messageThatStopsShort());
        }

        @Test
        void testMessagesOfEmptyEntries() throws Exception {
            checkBeside(4, PORT, messageOfEmptyEntries());
        }

        @Test
        void testConnectionsThatSendNothing() throws Exception {
            checkBeside(1_000, PORT, out -> {});
        }
    }
}

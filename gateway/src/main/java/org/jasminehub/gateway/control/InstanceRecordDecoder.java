package org.jasminehub.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.util.NetUtil;
import org.jasminehub.platform.hosted.RecordRejectedException;
import org.jasminehub.wire.generated.InstanceRecord;

/** Decodes the registrations of instances, which any writer to the log may have written. */
final class InstanceRecordDecoder {
    private static final int MAX_PORT = 65_535;

    private InstanceRecordDecoder() {}

    /**
     * Decodes the registration of the instance {@code name}.
     *
     * @throws RecordRejectedException if the bytes cannot be read, the record is about another instance, or a field is out
     *     of range, so that no connection could be made to the instance
     */
    static InstanceRecord decode(String name, byte[] bytes) {
        InstanceRecord record;
        try {
            record = InstanceRecord.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new RecordRejectedException("instance " + name, String.valueOf(e.getMessage()), "a registration");
        }
        check(!name.isBlank() && record.getInstance().equals(name), "name", record.getInstance(), "the key");
        check(isIpAddress(record.getHost()), "host", record.getHost(), "an IP address");
        checkPort("caller port", record.getCallerPort());
        checkPort("peer port", record.getPeerPort());
        check(record.getStoreEra() >= 0, "era", record.getStoreEra(), "at least 0");
        double cores = record.getProcessorCores();
        check(Double.isFinite(cores) && cores >= 0, "processor cores", cores, "a finite number of at least 0");
        return record;
    }

    /** A name as the host would be looked up in the event loop, which the look-up blocks. */
    private static boolean isIpAddress(String host) {
        return NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
    }

    private static void checkPort(String name, int port) {
        check(port >= 0 && port <= MAX_PORT, name, Integer.toUnsignedLong(port), "from 0 to " + MAX_PORT);
    }

    private static void check(boolean isValid, String field, Object found, String expected) {
        if (!isValid) {
            throw new RecordRejectedException(field + " of an instance", found, expected);
        }
    }
}

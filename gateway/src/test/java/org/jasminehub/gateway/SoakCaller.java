package org.jasminehub.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/** A caller with seeded behaviour that uses each connection until it is closed, and old addresses as long as it can. */
final class SoakCaller implements Runnable {
    private static final int MAX_EVENTS = 12;

    private final String name;
    private final SoakLoad load;
    private final SplittableRandom random;
    private final CallerManner manner;
    private int calls;
    private boolean isCloseAnnounced;

    SoakCaller(String name, SoakLoad load, SplittableRandom random, CallerManner manner) {
        this.name = name;
        this.load = load;
        this.random = random;
        this.manner = manner;
    }

    @Override
    public void run() {
        while (!load.isOver()) {
            SoakGateway gateway = load.pick(random);
            try (Socket socket = gateway.connect(manner.receiveBufferBytes())) {
                InputStream in = manner.paced(socket.getInputStream());
                isCloseAnnounced = false;
                boolean isOpen = true;
                while (isOpen) {
                    pause(random.nextInt(8) == 0 ? random.nextInt(2_500) : random.nextInt(200));
                    isOpen = exchange(socket, in, gateway);
                }
            } catch (IOException e) {
                // The instance has ended, or the connection was closed while a request was being written.
                pause(10);
            }
        }
    }

    /** Sends one or two requests and reads the responses; returns whether the connection can be used again. */
    private boolean exchange(Socket socket, InputStream in, SoakGateway gateway) throws IOException {
        SoakCall call = nextCall(gateway, null);
        if (isCloseAnnounced) {
            call.onSentBehindAnnouncedClose();
        }
        int form = random.nextInt(20);
        if (form < 4) {
            writeInTwoParts(socket, call);
        } else {
            write(socket, call, call.text(), "");
        }
        if (form == 4) {
            pause(random.nextInt(200));
            call.onAbandoned();
            socket.setSoLinger(random.nextBoolean(), 0);
            return false;
        }
        SoakCall next = form > 4 && form < 9 ? pipeline(socket, call) : null;
        call.onReading();
        SoakResponse response = SoakResponse.read(in);
        call.onResponse(response);
        if (next != null) {
            if (!response.isComplete()) {
                next.onResponse(new SoakResponse("", "", false, "connection ended before"));
                return false;
            }
            next.onReading();
            response = SoakResponse.read(in);
            next.onResponse(response);
        }
        isCloseAnnounced = response.isLastOnConnection();
        boolean isLeft = isCloseAnnounced && !manner.ignoresAnnouncedClose();
        return response.isComplete() && !isLeft && random.nextInt(12) > 0;
    }

    /** Sends another request before the response to {@code call}. */
    private SoakCall pipeline(Socket socket, SoakCall call) {
        pause(random.nextInt(100));
        SoakCall next = nextCall(call.gateway(), call);
        try {
            write(socket, next, next.text(), "pipelined");
        } catch (IOException e) {
            // The response to the first request may have arrived before the connection was closed.
            next.note("not sent: " + e.getMessage());
        }
        return next;
    }

    private void write(Socket socket, SoakCall call, String text, String note) throws IOException {
        call.onLastWrite();
        ScriptedEndpoint.write(socket, text);
        call.onSent(note);
    }

    private void writeInTwoParts(Socket socket, SoakCall call) throws IOException {
        String text = call.text();
        int cut = 1 + random.nextInt(text.length() - 1);
        ScriptedEndpoint.write(socket, text.substring(0, cut));
        call.note("first part of " + cut + " bytes sent");
        pause(random.nextInt(random.nextInt(4) == 0 ? 1_500 : 100));
        write(socket, call, text.substring(cut), "in two parts");
    }

    private SoakCall nextCall(SoakGateway gateway, @Nullable SoakCall pipelinedAfter) {
        SoakCall.Kind kind = SoakCall.Kind.values()[random.nextInt(3)];
        return load.newCall(
                name + "-" + calls++,
                kind,
                gateway,
                kind == SoakCall.Kind.STREAM ? 1 + random.nextInt(MAX_EVENTS) : 0,
                pipelinedAfter);
    }

    private static void pause(int millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}

package org.jasminehub.ctl;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.jasminehub.runtime.time.SystemClock;

/** Entry point of {@code jasminehubctl}, the operators' command line tool. */
public final class Main {
    private Main() {}

    /** Runs the command in {@code arguments} and ends the process with its exit code. */
    public static void main(String[] arguments) {
        ActorSystem system = ActorSystem.create("jasminehubctl");
        CtlProgram program = new CtlProgram(
                new HttpConnections(system),
                new SystemClock(),
                Main::pauseMillis,
                () -> UUID.randomUUID().toString(),
                System.out,
                System.err);
        int status = program.run(arguments).status();
        system.terminate();
        System.exit(status);
    }

    private static void pauseMillis(long millis) {
        new CompletableFuture<Void>()
                .completeOnTimeout(null, millis, TimeUnit.MILLISECONDS)
                .join();
    }
}

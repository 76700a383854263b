import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A role of the deploy file as a process of its own, started with the command and the template of the deploy file. */
final class EntryProcess {
    static final int FRONT = 8227;
    static final int READY = 8220;

    final String name;
    final String host;
    final Process process;

    private EntryProcess(String name, String host, Process process) {
        this.name = name;
        this.host = host;
        this.process = process;
    }

    /** Starts an entry instance on the loopback address {@code host}. */
    static EntryProcess start(Path repository, Path directory, String name, String host, String seeds, String store)
            throws IOException {
        String settings = Files.readString(repository.resolve("deploy/entry.yaml.tmpl"));
        settings = settings.replaceAll("(?m)^seeds: .*$", "seeds: [" + seeds + "]")
                .replace("{{node_name|json}}", quoted(name))
                .replace("{{zone|json}}", quoted("zone-a"))
                .replace("{{listen.front|json}}", quoted(host + ":" + FRONT))
                .replace("{{listen.ready|json}}", quoted(host + ":" + READY))
                .replace("{{listen.directory|json}}", quoted(host + ":8224"))
                .replace("{{listen.control|json}}", quoted(host + ":8229"))
                .replace("{{internal_ports.1}}", "7355")
                .replace("{{platform.address|json}}", quoted(store))
                .replace("{{bounds.revoke_ms}}", "5000")
                .replace("{{bounds.drain_ms}}", "2000")
                .replace("{{bounds.grace_s}}", "8")
                .replace("{{bounds.ttl_max_s}}", "5")
                .replace("{{limits.cpu_share}}", "0.75")
                .replace("{{limits.cores}}", "1")
                .replace("{{bounds.budget_ratio}}", "0.2")
                .replace("{{bounds.budget_slack}}", "90")
                .replace("{{bounds.budget_window_s}}", "10");
        Path file = directory.resolve(name + ".yaml");
        Files.writeString(file, settings);
        Matcher command = Pattern.compile("(?s)\\[roles\\.entry\\].*?run = \"([^\"]*)\"")
                .matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!command.find()) {
            throw new IOException("no command of the role entry in the deploy file");
        }
        List<String> words = new ArrayList<>(List.of(command.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(words)
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile());
        builder.environment().put("JASMINEHUB_BOOT", file.toString());
        EntryProcess started = new EntryProcess(name, host, builder.start());
        Runtime.getRuntime().addShutdownHook(new Thread(started.process::destroyForcibly));
        return started;
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }

    boolean isReady() {
        try (Socket socket = connect(READY)) {
            socket.setSoTimeout(1_000);
            Net.write(
                    socket.getOutputStream(),
                    "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                    new byte[0]);
            Net.Message answer = Net.readMessage(socket.getInputStream(), false);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < endNanos && process.isAlive()) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        return socket;
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}

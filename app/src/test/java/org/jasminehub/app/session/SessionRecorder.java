package org.jasminehub.app.session;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.regex.Pattern;
import org.approvaltests.Approvals;

/** Sends requests and records them with their responses as text, to be compared with an approved file. */
public final class SessionRecorder {
    private static final Pattern UUID = Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}");
    private static final Pattern PORT = Pattern.compile("127\\.0\\.0\\.1:\\d+");

    private final HttpClient client = HttpClient.newHttpClient();
    private final StringBuilder text = new StringBuilder();
    private final String address;

    /** Creates a recorder of requests to the entry instance at {@code address}, of the form {@code HOST:PORT}. */
    public SessionRecorder(String address) {
        this.address = address;
    }

    /** Adds a heading to the record. */
    public void addHeading(String line) {
        text.append("# ").append(line).append('\n');
    }

    /** Gets {@code path} and records the exchange; {@code headers} alternates names and values. */
    public HttpResponse<String> get(String path, String... headers) {
        return send("GET " + path, request(path, headers).GET().build(), "");
    }

    /** Posts {@code body} to {@code path} and records the exchange; {@code headers} alternates names and values. */
    public HttpResponse<String> post(String path, String body, String... headers) {
        HttpRequest request = request(path, headers)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return send("POST " + path, request, body);
    }

    /** Compares the record with the approved file; request ids and addresses are replaced by placeholders. */
    public void verify() {
        String scrubbed = UUID.matcher(text).replaceAll("REQUEST-ID");
        Approvals.verify(PORT.matcher(scrubbed).replaceAll("ADDRESS"));
    }

    private HttpRequest.Builder request(String path, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path));
        return headers.length == 0 ? request : request.headers(headers);
    }

    private HttpResponse<String> send(String line, HttpRequest request, String body) {
        try {
            HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
            record(line, request, body, response);
            return response;
        } catch (IOException e) {
            throw new AssertionError(line + " received no complete response", e);
        } catch (InterruptedException e) {
            throw new AssertionError(line + " was interrupted", e);
        }
    }

    private void record(String line, HttpRequest request, String body, HttpResponse<String> response) {
        text.append("> ").append(line).append('\n');
        request.headers()
                .map()
                .forEach((name, values) -> text.append("> ")
                        .append(name)
                        .append(": ")
                        .append(values.get(0))
                        .append('\n'));
        if (!body.isEmpty()) {
            text.append("> ").append(body).append('\n');
        }
        text.append("< ").append(response.statusCode()).append('\n');
        response.headers()
                .firstValue("content-type")
                .ifPresent(type -> text.append("< content-type: ").append(type).append('\n'));
        response.headers()
                .firstValue("retry-after")
                .ifPresent(value -> text.append("< retry-after: ").append(value).append('\n'));
        response.body()
                .lines()
                .forEach(bodyLine -> text.append("< ").append(bodyLine).append('\n'));
        text.append('\n');
    }
}

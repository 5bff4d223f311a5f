package org.mallowroad.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands that send a request to a controller and print the response body to standard output. */
abstract class ClientCommands implements Callable<Integer> {
  @Option(
      names = "--server",
      paramLabel = "HOST:PORT",
      defaultValue = "127.0.0.1:8080",
      description = "A controller (default: ${DEFAULT-VALUE}).")
  private String server;

  /**
   * Sends a request and returns the exit code: 0 on a 2xx response, 1 on any other, 2 when the
   * server address is invalid, 3 when the server cannot be reached or does not answer in time.
   */
  final int sendRequest(String method, String path, byte[] body) throws InterruptedException {
    HttpResponse<String> response;
    try {
      response =
          HttpClient.newBuilder()
              .version(HttpClient.Version.HTTP_1_1)
              .connectTimeout(Duration.ofSeconds(5))
              .build()
              .send(
                  HttpRequest.newBuilder(URI.create("http://" + server + path))
                      .timeout(Duration.ofSeconds(10))
                      .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                      .build(),
                  HttpResponse.BodyHandlers.ofString());
    } catch (IllegalArgumentException e) {
      System.err.println("mallowroad: " + server + ": not an address of the form host:port");
      return 2;
    } catch (HttpTimeoutException e) {
      System.err.println("mallowroad: " + server + " does not answer in time");
      return 3;
    } catch (IOException e) {
      System.err.println("mallowroad: " + server + " cannot be reached");
      return 3;
    }
    System.out.println(response.body().stripTrailing());
    if (response.statusCode() / 100 == 2) {
      return 0;
    }
    System.err.println("mallowroad: " + server + " answered " + response.statusCode());
    return 1;
  }

  /** Submits the job that a JSON file describes. */
  @Command(
      name = "submit",
      mixinStandardHelpOptions = true,
      description = "Submits the job described in a JSON file; the same file again is harmless.")
  static final class Submit extends ClientCommands {
    @Parameters(paramLabel = "FILE", description = "The job (JSON).")
    private Path file;

    @Override
    public Integer call() throws InterruptedException {
      byte[] body;
      try {
        body = Files.readAllBytes(file);
      } catch (IOException e) {
        System.err.println("mallowroad: " + file + ": cannot be read");
        return 2;
      }
      return sendRequest("POST", "/v1/jobs", body);
    }
  }

  /** Shows a job. */
  @Command(
      name = "job",
      mixinStandardHelpOptions = true,
      description = "Shows a job's state and counts.")
  static final class Show extends ClientCommands {
    @Parameters(paramLabel = "ID", description = "The job's id.")
    private String id;

    @Override
    public Integer call() throws InterruptedException {
      return sendRequest("GET", "/v1/jobs/" + id, new byte[0]);
    }
  }

  /** Cancels a job. */
  @Command(
      name = "cancel",
      aliases = "withdraw",
      mixinStandardHelpOptions = true,
      description = "Cancels a job; its tasks are stopped.")
  static final class Cancel extends ClientCommands {
    @Parameters(paramLabel = "ID", description = "The job's id.")
    private String id;

    @Override
    public Integer call() throws InterruptedException {
      return sendRequest("POST", "/v1/jobs/" + id + "/withdraw", new byte[0]);
    }
  }
}

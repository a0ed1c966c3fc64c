package stonespring.discovery;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import stonespring.http.HttpResponse;
import stonespring.http.HttpServer;

/** A test double of a registry; tests provide each response. */
final class RegistryServer {
  private static final int MAX_BODY_BYTES = 100;

  private final LinkedBlockingQueue<HttpServer.Exchange> exchanges = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<String> targets = new LinkedBlockingQueue<>();
  private final HttpServer server;

  RegistryServer(EventLoopGroup loops) throws Exception {
    server =
        new HttpServer(
                (request, exchange) -> {
                  targets.add(request.target());
                  exchanges.add(exchange);
                },
                MAX_BODY_BYTES)
            .start(loops, "127.0.0.1", 0);
  }

  int port() {
    return server.port();
  }

  /** Waits for the next request that has not been accepted yet; returns null on a timeout. */
  HttpServer.Exchange accept() throws InterruptedException {
    return exchanges.poll(EndpointUpdates.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Waits for the next request and responds with an index and entries. */
  void respond(int index, String... entries) throws InterruptedException {
    respondBody(index, "[" + String.join(",", entries) + "]");
  }

  void respondBody(int index, String body) throws InterruptedException {
    accept().respond(HttpResponse.of(200, body).setHeader("X-Consul-Index", String.valueOf(index)));
  }

  void respondWithoutIndex(String body) throws InterruptedException {
    accept().respond(HttpResponse.of(200, body));
  }

  /** Returns the targets of requests in order, one per call; null if none arrives in time. */
  String nextTarget() throws InterruptedException {
    return targets.poll(EndpointUpdates.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  void stop() {
    server.stop();
  }

  /** Returns an entry in zone east at 127.0.0.1:80, started at Unix time 1000 ms. */
  static String entry(String id, String checks) {
    return "{\"Node\":{\"Address\":\"10.0.0.9\"},\"Service\":{\"ID\":\""
        + id
        + "\",\"Address\":\"127.0.0.1\",\"Port\":80,\"Meta\":"
        + "{\"zone\":\"east\",\"started_ms\":\"1000\"},\"Weights\":{\"Passing\":3,\"Warning\":1}},"
        + "\"Checks\":["
        + checks
        + "]}";
  }

  static String check(String id, String status) {
    return "{\"CheckID\":\"" + id + "\",\"Status\":\"" + status + "\"}";
  }
}

package stonespring.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import stonespring.http.HttpCallResult;
import stonespring.http.HttpClient;
import stonespring.http.HttpRequest;
import stonespring.http.HttpResponse;
import stonespring.http.HttpServer;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;
import stonespring.proxy.routing.RequestStatistics;
import stonespring.proxy.routing.Router;
import stonespring.proxy.routing.RouterSettings;

/**
 * A plain proxy: receives requests over HTTP ({@code POST /op/TYPE} with the request's id in {@code
 * x-op}), forwards them to endpoints according to its route tables, and answers them. A request
 * that is rejected or has failed is answered at once, with {@code retry-after} and, if it is
 * certain that no endpoint executed it, {@code x-not-run: 1}.
 *
 * <p>Confined to one event loop; the public methods may be called from any thread.
 */
public final class Proxy {
  /**
   * Maximum time to connect to an endpoint. One that accepts connections does so within a few
   * milliseconds.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  private static final int MAX_BODY_BYTES = 64 << 10;
  private static final int MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 8;

  /** Maximum number of requests in flight, and of requests that wait while the proxy is stalled. */
  private static final int MAX_IN_FLIGHT = 5_000;

  /**
   * Time between the end of a stall and the first request that is sent: updates buffered in the
   * socket are read and applied in the meantime.
   */
  private static final long RESUME_DELAY_MILLIS = 100;

  private static final String REQUEST_METHOD = "POST";
  private static final String USAGE = "POST /op/TYPE with header x-op\n";

  private final ProxySettings settings;
  private final EventLoop loop;
  private final Router router;
  private final RequestStatistics statistics;
  private final InstanceConnection connection;
  private final HttpClient client;
  private final HttpServer server;
  private final TreeSet<String> usedEndpoints = new TreeSet<>();
  private final ArrayDeque<RequestExchange> waitingRequests = new ArrayDeque<>();
  private int inFlight;
  private boolean stalled;

  /**
   * Creates a proxy with its bootstrap routes. It neither listens nor connects until {@link
   * #start}.
   */
  public Proxy(ProxySettings settings, EventLoop loop) {
    this.settings = settings;
    this.loop = loop;
    this.router = new Router(settings.router(), settings.seed());
    this.router.useBootstrapRoutes(settings.bootstrapEndpoints());
    this.statistics = new RequestStatistics(settings.router().requestClasses().size(), 0);
    this.connection = new InstanceConnection(settings, loop, router, statistics);
    this.client =
        new HttpClient(
            loop, CONNECT_TIMEOUT_MILLIS, MAX_BODY_BYTES, MAX_IDLE_CONNECTIONS_PER_ENDPOINT);
    this.server = new HttpServer(new ServerHandler(), MAX_BODY_BYTES);
  }

  /**
   * Starts listening on the loopback interface and connects to an instance.
   *
   * @param port the port to listen on; 0 selects a free port
   */
  public Proxy start(EventLoopGroup loops, int port) throws IOException, InterruptedException {
    server.start(loops, "127.0.0.1", port);
    loop.execute(connection::start);
    loop.scheduleAtFixedRate(this::closeUnusedConnections, 1, 1, TimeUnit.SECONDS);
    return this;
  }

  /** The port on which the proxy listens. */
  public int port() {
    return server.port();
  }

  /** Number of updates from the instance that were applied so far; may be slightly out of date. */
  public long appliedUpdates() {
    return connection.appliedUpdates();
  }

  /**
   * Stalls or resumes the proxy. While stalled, it reads nothing from its instance and starts no
   * request. On resuming, it first reads the updates that arrived during the stall and only then
   * sends requests, because its tables date from before the stall.
   */
  public void setStalled(boolean stall) {
    loop.execute(
        () -> {
          connection.setReading(!stall);
          if (stall) {
            stalled = true;
          } else {
            loop.schedule(this::resume, RESUME_DELAY_MILLIS, TimeUnit.MILLISECONDS);
          }
        });
  }

  private void resume() {
    stalled = false;
    while (!stalled && !waitingRequests.isEmpty()) {
      waitingRequests.poll().start();
    }
  }

  /** Stops the proxy at once and waits until its port is free. Requests in flight get no answer. */
  public void stop() throws InterruptedException {
    server.stop().await();
    loop.execute(
        () -> {
          connection.stop();
          client.close();
        });
  }

  private void closeUnusedConnections() {
    TreeSet<String> namedEndpoints = router.namedEndpoints();
    for (String endpoint : new TreeSet<>(usedEndpoints)) {
      if (!namedEndpoints.contains(endpoint)) {
        usedEndpoints.remove(endpoint);
        client.closeIdle(ProxySettings.address(new EndpointId(endpoint)));
      }
    }
  }

  private final class ServerHandler implements HttpServer.Handler {
    @Override
    public void handle(HttpRequest request, HttpServer.Exchange exchange) {
      loop.execute(() -> Proxy.this.handle(request, exchange));
    }

    @Override
    public HttpResponse rejection() {
      return RequestExchange.rejectionAsFull();
    }
  }

  private void handle(HttpRequest request, HttpServer.Exchange exchange) {
    Optional<RequestClassId> requestClass = requestClass(request.target());
    boolean hasId = !request.header(ProxyHeaders.REQUEST_ID).isEmpty();
    if (requestClass.isEmpty() || !request.method().equals(REQUEST_METHOD) || !hasId) {
      exchange.respond(HttpResponse.of(404, USAGE));
      return;
    }
    RequestExchange requestExchange =
        new RequestExchange(this, requestClass.get(), request, exchange);
    if (!stalled) {
      requestExchange.start();
    } else if (waitingRequests.size() < MAX_IN_FLIGHT) {
      waitingRequests.add(requestExchange);
    } else {
      requestExchange.rejectAsFull();
    }
  }

  private Optional<RequestClassId> requestClass(String target) {
    List<RouterSettings.ClassSettings> classes = settings.router().requestClasses();
    for (int k = classes.size() - 1; k >= 0; k--) {
      if (target.equals(ProxyHeaders.REQUEST_PATH_PREFIX + classes.get(k).name())) {
        return Optional.of(new RequestClassId(k));
      }
    }
    return Optional.empty();
  }

  ProxySettings settings() {
    return settings;
  }

  Router router() {
    return router;
  }

  RequestStatistics statistics() {
    return statistics;
  }

  /** Time since the proxy was created, in deci-milliseconds. */
  long now() {
    return connection.now();
  }

  boolean isFull() {
    return inFlight >= MAX_IN_FLIGHT;
  }

  void incrementInFlight() {
    inFlight++;
  }

  void decrementInFlight() {
    inFlight--;
  }

  void call(
      EndpointId endpoint,
      HttpRequest attempt,
      long timeoutMillis,
      Consumer<HttpCallResult> resultHandler) {
    usedEndpoints.add(endpoint.name());
    client.call(ProxySettings.address(endpoint), attempt, timeoutMillis, resultHandler);
  }
}

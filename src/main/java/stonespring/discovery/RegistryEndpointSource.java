package stonespring.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.http.HttpCallResult;
import stonespring.http.HttpClient;
import stonespring.http.HttpRequest;
import stonespring.http.HttpResponse;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * Fetches and watches the endpoint list of a registry that offers Consul's health endpoint. A watch
 * consists of blocking queries: each carries the index of the last response, and the registry holds
 * it open until something changes or the wait time has passed. A failed query ends the watch. When
 * the index decreases, the next query starts over without an index, as the registry's documentation
 * requires. Mutable state is confined to the event loop.
 */
public final class RegistryEndpointSource implements EndpointSource {
  private static final Logger LOG = LoggerFactory.getLogger(RegistryEndpointSource.class);

  /** The timeout is short, because the registry is nearby in the network. */
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  /** Far above the size of the longest permitted list. */
  private static final int MAX_BODY_BYTES = 64 << 20;

  private static final int MAX_IDLE_CONNECTIONS = 1;

  /**
   * The time allowed for a response, in addition to the wait time of a blocking query. Registries
   * extend the wait time by up to a sixteenth.
   */
  private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;

  /** Denotes a query without an index, which the registry answers at once. */
  private static final long NO_INDEX = 0;

  private static final String INDEX_HEADER = "x-consul-index";

  private final InetSocketAddress address;
  private final String path;
  private final int waitSeconds;
  private final RegistryEndpointCodec codec;
  private final EventLoop loop;
  private final HttpClient client;
  private final EndpointListDiff diff = new EndpointListDiff();
  private SourceListeners listeners;
  private boolean watching;

  /**
   * The number of the current watch; it increases with each start or stop. The result of a query
   * with a lower number is ignored.
   */
  private int watchNumber;

  private Runnable cancelQuery = () -> {};

  /**
   * Creates a source; nothing is sent before {@link #setWatchEnabled} or {@link #fetch}.
   *
   * @param service the service's name in the registry
   * @param waitSeconds the time for which the registry may hold a query open
   * @param codec provides the zone names and the clock offset
   */
  public RegistryEndpointSource(
      String host,
      int port,
      String service,
      int waitSeconds,
      EndpointListCodec codec,
      EventLoop loop) {
    this.address = new InetSocketAddress(host, port);
    this.path = "/v1/health/service/" + service;
    this.waitSeconds = waitSeconds;
    this.codec = new RegistryEndpointCodec(codec.fields());
    this.loop = loop;
    this.client =
        new HttpClient(loop, CONNECT_TIMEOUT_MILLIS, MAX_BODY_BYTES, MAX_IDLE_CONNECTIONS);
  }

  @Override
  public void start(
      Consumer<Event.EndpointListUpdate> updateListener,
      Consumer<List<EndpointRecord>> listListener) {
    listeners = new SourceListeners(updateListener, listListener);
  }

  @Override
  public void setWatchEnabled(boolean enabled) {
    loop.execute(
        () -> {
          watching = enabled;
          watchNumber++;
          cancelQuery.run();
          if (enabled) {
            diff.clearList();
            sendQuery(watchNumber, NO_INDEX);
          }
        });
  }

  private void sendQuery(int queryWatchNumber, long index) {
    String query = index == NO_INDEX ? "" : "?index=" + index + "&wait=" + waitSeconds + "s";
    long waitMillis = index == NO_INDEX ? 0 : waitSeconds * 1000L;
    cancelQuery =
        client.call(
            address,
            HttpRequest.get(address, path + query),
            waitMillis + RESPONSE_TIMEOUT_MILLIS,
            result -> {
              if (queryWatchNumber == watchNumber && watching) {
                handleQueryResult(queryWatchNumber, index, result);
              }
            });
  }

  private void handleQueryResult(int queryWatchNumber, long index, HttpCallResult result) {
    try {
      HttpResponse response = EndpointListUnavailableException.requireOk(result);
      long nextIndex = readIndex(response);
      List<EndpointRecord> list = codec.read(response.body());
      diff.replaceList(list).ifPresent(update -> listeners.notifyUpdated(update, list));
      sendQuery(queryWatchNumber, nextIndex < index ? NO_INDEX : nextIndex);
    } catch (EndpointListUnavailableException | InvalidEndpointListException e) {
      watching = false;
      reportFailure(e);
    }
  }

  private static long readIndex(HttpResponse response) throws InvalidEndpointListException {
    String index = response.header(INDEX_HEADER);
    if (!index.matches("[0-9]{1,18}")) {
      throw new InvalidEndpointListException(
          "header X-Consul-Index must be a number of 1 to 18 digits, found '" + index + "'");
    }
    return Long.parseLong(index);
  }

  @Override
  public void fetch() {
    loop.execute(
        () ->
            client.call(
                address,
                HttpRequest.get(address, path),
                RESPONSE_TIMEOUT_MILLIS,
                this::handleFetchResult));
  }

  private void handleFetchResult(HttpCallResult result) {
    try {
      HttpResponse response = EndpointListUnavailableException.requireOk(result);
      readIndex(response);
      List<EndpointRecord> list = codec.read(response.body());
      listeners.notifyUpdated(
          new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, list), list);
    } catch (EndpointListUnavailableException | InvalidEndpointListException e) {
      reportFailure(e);
    }
  }

  private void reportFailure(Exception cause) {
    LOG.warn(
        "registry {} provided no usable endpoint list, keeping the last list: {}",
        address,
        cause.getMessage());
    listeners.notifyFailed();
  }

  @Override
  public void stop() {
    loop.execute(
        () -> {
          watching = false;
          watchNumber++;
          cancelQuery.run();
          client.close();
        });
  }
}

package stonespring.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.http.Connector;
import stonespring.http.HttpCallResult;
import stonespring.http.HttpClient;
import stonespring.http.HttpRequest;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * Fetches and watches the endpoint list of the platform's discovery server. The server's address
 * may change at run time: the old address is watched until the new one responds. Mutable state is
 * confined to the event loop.
 */
public final class PlatformEndpointSource implements EndpointSource {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformEndpointSource.class);
  private static final String PATH = "/registry/instances";

  /** The timeout is short, because the discovery server is nearby in the network. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /**
   * Timeout of a fetch. The discovery server itself gives up on a pending request well before it.
   */
  private static final int FETCH_TIMEOUT_MILLIS = 2_500;

  private static final int MAX_IDLE_CONNECTIONS = 0;

  /**
   * The wait before a failed watch of the new address is retried. It is short, as the old address
   * stays available for no longer than a few of these intervals.
   */
  private static final long SUCCESSOR_RETRY_MILLIS = 300;

  private final PlatformEndpointList list;
  private final EventLoop loop;
  private final Connector connector;
  private final HttpClient client;
  private final PlatformEndpointWatch.Listener watchListener = new WatchListener();
  private InetSocketAddress address;
  private SourceListeners listeners;
  private boolean watching;

  /** The watch of the address in use; null if there is none. */
  private PlatformEndpointWatch currentWatch;

  /** The watch of a new address that has not yet responded; null if there is none. */
  private PlatformEndpointWatch successorWatch;

  /** Creates a source; nothing is sent before {@link #setWatchEnabled} or {@link #fetch}. */
  public PlatformEndpointSource(
      InetSocketAddress address, PlatformEndpointCodec codec, EventLoop loop) {
    this(address, new PlatformEndpointList(codec), new Connector(loop));
  }

  PlatformEndpointSource(
      InetSocketAddress address, PlatformEndpointList list, Connector connector) {
    this.address = address;
    this.list = list;
    this.loop = connector.loop();
    this.connector = connector;
    this.client =
        new HttpClient(
            connector,
            CONNECT_TIMEOUT_MILLIS,
            PlatformEndpointWatch.MAX_MESSAGE_BYTES,
            MAX_IDLE_CONNECTIONS);
  }

  /**
   * Loads the endpoint list that the configuration contains. Must be called before the first list
   * arrives from the discovery server.
   *
   * @param cachedList a list in the platform's format; an invalid one is treated as empty
   * @return an update of kind {@link Event.ListUpdateKind#CACHED}
   */
  public Event.EndpointListUpdate loadCachedList(Optional<JsonNode> cachedList) {
    List<EndpointRecord> endpoints = List.of();
    if (cachedList.isPresent()) {
      try {
        endpoints = list.applyCached(cachedList.get());
      } catch (InvalidEndpointListException e) {
        LOG.warn(
            "endpoint list in the configuration is invalid, starting with an empty list: {}",
            e.getMessage());
      }
    }
    return new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, endpoints);
  }

  /** Returns the endpoints of the held list. Must be called on the event loop. */
  public List<EndpointRecord> endpoints() {
    return list.endpoints();
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
          cancelWatches();
          if (enabled) {
            currentWatch = startWatch();
          }
        });
  }

  private PlatformEndpointWatch startWatch() {
    LOG.info(
        "requesting a watch of the endpoint list from discovery server {}, changes since version"
            + " {}",
        address,
        list.version());
    return new PlatformEndpointWatch(address, PATH, list, connector, watchListener);
  }

  private void cancelWatches() {
    cancelCurrentWatch();
    cancelSuccessorWatch();
  }

  private void cancelCurrentWatch() {
    if (currentWatch != null) {
      currentWatch.cancel();
      currentWatch = null;
    }
  }

  private void cancelSuccessorWatch() {
    if (successorWatch != null) {
      successorWatch.cancel();
      successorWatch = null;
    }
  }

  /**
   * Changes the discovery server's address. An active watch of the old address continues until the
   * new address responds.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    loop.execute(
        () -> {
          if (newAddress.equals(address)) {
            return;
          }
          LOG.info("discovery address changed from {} to {}", address, newAddress);
          address = newAddress;
          // The old watch may have ended while its successor waits for a response.
          boolean watched = currentWatch != null || successorWatch != null;
          cancelSuccessorWatch();
          if (watched) {
            successorWatch = startWatch();
          }
        });
  }

  private void scheduleSuccessorRetry() {
    loop.schedule(
        () -> {
          boolean currentWatchUsesAddress =
              currentWatch != null && currentWatch.address().equals(address);
          if (currentWatch != null && successorWatch == null && !currentWatchUsesAddress) {
            successorWatch = startWatch();
          }
        },
        SUCCESSOR_RETRY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void reportFailure(String cause) {
    LOG.warn(
        "discovery server {} provided no usable endpoint list, keeping the last list: {}",
        address,
        cause);
    listeners.notifyFailed();
  }

  /** Reports the updates of both watches, and replaces the current watch by its successor. */
  private final class WatchListener implements PlatformEndpointWatch.Listener {
    @Override
    public void watchResponded(PlatformEndpointWatch watch) {
      if (watch == successorWatch) {
        LOG.info(
            "discovery server {} responded, closing the watch of the old address", watch.address());
        cancelCurrentWatch();
        currentWatch = watch;
        successorWatch = null;
      }
    }

    @Override
    public void listUpdated(Event.EndpointListUpdate update) {
      listeners.notifyUpdated(update, list.endpoints());
    }

    @Override
    public void watchFailed(PlatformEndpointWatch watch, String cause) {
      if (watch == successorWatch) {
        successorWatch = null;
        if (currentWatch == null) {
          reportFailure(cause);
        } else {
          scheduleSuccessorRetry();
        }
      } else if (watch == currentWatch) {
        currentWatch = null;
        // A pending successor watch will itself report an update or a failure.
        if (successorWatch == null && watching) {
          reportFailure(cause);
        }
      }
    }
  }

  @Override
  public void fetch() {
    loop.execute(
        () -> {
          long versionAtRequest = list.version();
          long epochAtRequest = list.epoch();
          client.call(
              address,
              HttpRequest.get(address, PATH),
              FETCH_TIMEOUT_MILLIS,
              result -> handleFetchResult(versionAtRequest, epochAtRequest, result));
        });
  }

  /**
   * Handles the result of a fetch.
   *
   * @param versionAtRequest the held list's version at the time of the request
   * @param epochAtRequest the held list's epoch at the time of the request
   */
  private void handleFetchResult(
      long versionAtRequest, long epochAtRequest, HttpCallResult result) {
    try {
      if (epochAtRequest != list.epoch()) {
        throw EndpointListUnavailableException.versionsRestarted();
      }
      byte[] body = EndpointListUnavailableException.requireOk(result).body();
      Event.EndpointListUpdate update =
          list.apply(list.parseMessage(body), versionAtRequest, PlatformEndpointList.Origin.FETCH);
      listeners.notifyUpdated(
          new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, update.endpoints()),
          list.endpoints());
    } catch (EndpointListUnavailableException | InvalidEndpointListException e) {
      reportFailure(e.getMessage());
    }
  }

  @Override
  public void stop() {
    loop.execute(
        () -> {
          watching = false;
          cancelWatches();
          client.close();
        });
  }
}

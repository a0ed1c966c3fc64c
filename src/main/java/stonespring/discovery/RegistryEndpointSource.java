package stonespring.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.http.HttpClient;
import stonespring.http.HttpMessage;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * The list from a registry, in the published form of Consul's health endpoint ({@code
 * /v1/health/service/NAME}) with blocking queries: an ask carries the index of the last answer and
 * is held open until something changes. A failed ask ends the following and is told as failed; the
 * decisions say when to ask again. An index that goes back, or is none, starts from 0 as the
 * registry's pages ask of clients. A check in maintenance means draining, a critical one gone.
 */
public final class RegistryEndpointSource implements EndpointSource {
  private static final Logger LOG = LoggerFactory.getLogger(RegistryEndpointSource.class);
  private static final int CONNECT_MILLIS = 2_000; // ms; a registry is near
  private static final int BODY_MOST =
      64 << 20; // bytes of an answer; far above the most tasks of a list
  private static final long SLACK_MILLIS = 3_000; // ms; registries add up to a sixteenth to a wait
  private static final ObjectMapper JSON = new ObjectMapper();

  private final InetSocketAddress address;
  private final String service;
  private final int waitSeconds;
  private final EndpointListCodec entries;
  private final EventLoop loop;
  private final HttpClient client;
  private final EndpointListDiff diff = new EndpointListDiff();
  private Consumer<Event.EndpointListUpdate> told;
  private Consumer<List<EndpointRecord>> list;
  private boolean following;
  private int ask;
  private Runnable giveUp = () -> {};

  public RegistryEndpointSource(
      String host,
      int port,
      String service,
      int waitSeconds,
      EndpointListCodec entries,
      EventLoop loop) {
    this.address = new InetSocketAddress(host, port);
    this.service = service;
    this.waitSeconds = waitSeconds;
    this.entries = entries;
    this.loop = loop;
    this.client = new HttpClient(loop, CONNECT_MILLIS, BODY_MOST, 1);
  }

  @Override
  public void start(Consumer<Event.EndpointListUpdate> to, Consumer<List<EndpointRecord>> listTo) {
    told = to;
    list = listTo;
  }

  @Override
  public void follow(boolean on) {
    loop.execute(
        () -> {
          following = on;
          int mine = ++ask;
          giveUp.run();
          if (on) {
            diff.lost(); // asked anew: the answer is told as a whole, whatever was missed
            ask(mine, 0);
          }
        });
  }

  private void ask(int mine, long index) {
    String target =
        "/v1/health/service/"
            + service
            + (index > 0 ? "?index=" + index + "&wait=" + waitSeconds + "s" : "");
    long timeout = (index > 0 ? waitSeconds * 1000L : 0) + SLACK_MILLIS;
    giveUp =
        client.call(
            address,
            HttpMessage.get(address, target),
            timeout,
            (answer, failure) -> {
              if (mine != ask || !following) {
                return;
              }
              try {
                long next = take(answer, failure, false);
                ask(mine, next < index ? 0 : next);
              } catch (EndpointListCodec.BadList e) {
                following = false;
                LOG.warn("registry {}: the last list holds: {}", address, e.getMessage());
                told.accept(
                    new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
              }
            });
  }

  private long take(HttpMessage answer, HttpClient.Failure failure, boolean whole)
      throws EndpointListCodec.BadList {
    if (answer == null) {
      throw new EndpointListCodec.BadList("the ask failed: " + failure);
    }
    if (answer.status() != 200) {
      throw new EndpointListCodec.BadList("it answers " + answer.status());
    }
    String index = answer.header("x-consul-index");
    if (!index.matches("[0-9]{1,18}")) {
      throw new EndpointListCodec.BadList("header X-Consul-Index is no number");
    }
    List<EndpointRecord> read = read(answer.body());
    Event.EndpointListUpdate event =
        whole ? new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, read) : diff.next(read);
    if (event != null) {
      told.accept(event);
      list.accept(read);
    }
    return Long.parseLong(index);
  }

  List<EndpointRecord> read(byte[] body) throws EndpointListCodec.BadList {
    JsonNode all;
    try {
      all = JSON.readTree(body);
    } catch (JsonProcessingException e) {
      throw new EndpointListCodec.BadList(
          "its answer is no well-formed JSON: " + e.getOriginalMessage().split("\n")[0]);
    } catch (java.io.IOException e) {
      throw new EndpointListCodec.BadList("its answer can't be read: " + e.getMessage());
    }
    if (all == null || !all.isArray() || all.size() > EndpointListCodec.ENTRIES_MOST) {
      throw new EndpointListCodec.BadList(
          "its answer is no array of at most " + EndpointListCodec.ENTRIES_MOST + " entries");
    }
    List<EndpointRecord> read = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      EndpointRecord listing = listing("entry " + i, all.get(i));
      if (listing != null) {
        read.add(listing);
      }
    }
    return read;
  }

  private EndpointRecord listing(String where, JsonNode node) throws EndpointListCodec.BadList {
    JsonNode of = node.path("Service");
    boolean maintenance = false;
    boolean critical = false;
    boolean warning = false;
    for (JsonNode check : node.path("Checks")) {
      String id = check.path("CheckID").asText();
      String status = check.path("Status").asText();
      maintenance |= id.startsWith("_service_maintenance") || id.equals("_node_maintenance");
      critical |= status.equals("critical");
      warning |= status.equals("warning");
    }
    if (critical && !maintenance) {
      return null;
    }
    String host = of.path("Address").asText("");
    JsonNode meta = of.path("Meta");
    JsonNode weights = of.path("Weights");
    double weight =
        warning ? weights.path("Warning").asDouble(1) : weights.path("Passing").asDouble(1);
    return new EndpointRecord(
        EndpointListCodec.id(
            where,
            of.path("ID").asText(),
            (host.isEmpty() ? node.path("Node").path("Address").asText() : host)
                + ":"
                + of.path("Port").asInt()),
        entries.zone(where, meta.path("zone").asText()),
        weight > 0 ? weight : 1,
        maintenance ? EndpointRecord.State.DRAINING : EndpointRecord.State.READY,
        entries.startedAt(meta.path("started_ms").asLong(0)));
  }

  @Override
  public void fetch() {
    loop.execute(
        () ->
            client.call(
                address,
                HttpMessage.get(address, "/v1/health/service/" + service),
                SLACK_MILLIS,
                (answer, failure) -> {
                  try {
                    take(answer, failure, true);
                  } catch (EndpointListCodec.BadList e) {
                    LOG.warn("registry {}: the last list holds: {}", address, e.getMessage());
                    told.accept(
                        new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
                  }
                }));
  }

  @Override
  public void stop() {
    loop.execute(
        () -> {
          following = false;
          ask++;
          giveUp.run();
          client.close();
        });
  }
}

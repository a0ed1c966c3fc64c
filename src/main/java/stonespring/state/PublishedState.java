package stonespring.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.ProxyId;

/**
 * What the fronts publish, as keys: every proxy's subtree, changed by whole messages and ended by a
 * key that commits; presence; the instance's own status. A snapshot taken between two calls ends at
 * a commit for every proxy. Not safe for several threads.
 *
 * <p>The commit is a JSON object: {@code origin} names the stream that the orders belong to, {@code
 * at} counts its messages from 1, {@code keys} is how many keys this message changed, {@code mark},
 * where present, is to be answered.
 */
public final class PublishedState {
  public static final String PROXIES = "/proxy/";
  public static final String PRESENCE = "/presence/";
  public static final String STATUS = "/assigner/status";
  private static final String COMMIT = "commit";

  private final KeyStore keys;
  private final String epoch;
  private final ProxySessions presence;
  private static final int MARKS_MOST =
      4096; // marks that one proxy may still answer; more means it never does

  private static final class Stream {
    private int commits;
    private final LinkedHashMap<Integer, Long> marks = new LinkedHashMap<>();
  }

  private final Map<Integer, Stream> streams = new HashMap<>();

  public PublishedState(KeyStore keys, String epoch, ProxySessions presence) {
    this.keys = keys;
    this.epoch = epoch;
    this.presence = presence;
  }

  private String subtree(ProxyId proxy) {
    return PROXIES + presence.name(proxy) + "/";
  }

  /** The stream of a proxy: this instance's start and the count of all joins at which it began. */
  public String origin(ProxyId proxy) {
    return epoch + "-" + presence.stream(proxy);
  }

  /**
   * A message left the channel: its keys and then the commit. Empty where there is no room for the
   * keys.
   */
  public List<KeyUpdate> publish(ProxyUpdate message) {
    String subtree = subtree(message.proxy());
    List<KeyUpdate> updates = new ArrayList<>();
    for (Map.Entry<String, String> change : message.changes().entrySet()) {
      KeyUpdate update =
          change.getValue() == null
              ? keys.delete(subtree + change.getKey())
              : keys.put(subtree + change.getKey(), bytes(change.getValue()));
      if (update == null) {
        // Without all its keys a message must not commit: the proxy keeps what it has.
        return List.of();
      }
      updates.add(update);
    }
    Stream stream = streams.computeIfAbsent(message.proxy().number(), n -> new Stream());
    int at = ++stream.commits;
    if (message.mark() != null) {
      if (stream.marks.size() >= MARKS_MOST) {
        stream.marks.remove(stream.marks.keySet().iterator().next());
      }
      stream.marks.put(message.mark().number(), message.orderedAt());
    }
    String commit =
        "{\"origin\":\""
            + origin(message.proxy())
            + "\",\"at\":"
            + at
            + ",\"keys\":"
            + updates.size()
            + (message.mark() == null ? "" : ",\"mark\":" + message.mark().number())
            + "}";
    KeyUpdate last = keys.put(subtree + COMMIT, bytes(commit));
    if (last == null) {
      return List.of();
    }
    updates.add(last);
    return updates;
  }

  /** A proxy's stream began. */
  public List<KeyUpdate> here(ProxyId proxy) {
    KeyUpdate update =
        keys.put(PRESENCE + presence.name(proxy), bytes("{\"origin\":\"" + origin(proxy) + "\"}"));
    return update == null ? List.of() : List.of(update);
  }

  /**
   * A proxy's stream ended: its keys mean nothing any more. The deleted commit tells whoever
   * follows them.
   */
  public List<KeyUpdate> ended(ProxyId proxy) {
    String subtree = subtree(proxy);
    boolean any = keys.has(subtree + COMMIT);
    streams.remove(proxy.number());
    keys.forget(subtree);
    List<KeyUpdate> updates = new ArrayList<>();
    if (any) {
      updates.add(keys.delete(subtree + COMMIT));
    }
    updates.add(keys.delete(PRESENCE + presence.name(proxy)));
    return updates;
  }

  /**
   * When the message with this mark was ordered; -1 where it was never set for this stream, or
   * answered already.
   */
  public long answer(ProxyId proxy, int mark) {
    Stream stream = streams.get(proxy.number());
    Long orderedAt = stream == null ? null : stream.marks.remove(mark);
    return orderedAt == null ? -1 : orderedAt;
  }

  public List<KeyUpdate> status(String json) {
    KeyUpdate update = keys.put(STATUS, bytes(json));
    return update == null ? List.of() : List.of(update);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}

package stonespring.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import stonespring.model.AckId;
import stonespring.model.ProxyId;

/**
 * The published keys: a subtree for each proxy, changed by whole updates that end with a commit
 * key; presence keys; the instance's status. A snapshot taken between two calls ends at a commit
 * for every proxy. Not safe for several threads.
 *
 * <p>The commit is a JSON object: {@code origin} names the proxy's session, {@code at} counts the
 * session's updates from 1, {@code keys} is how many keys the update changed, {@code mark}, if
 * present, is the acknowledgement that is requested.
 */
public final class PublishedState {
  private static final String PROXIES = "/proxy/";
  private static final String PRESENCE = "/presence/";
  private static final String STATUS = "/assigner/status";
  private static final String COMMIT = "commit";

  /** Acknowledgements that one proxy may owe; the oldest beyond are forgotten. */
  private static final int MAX_PENDING_ACKS = 4096;

  /** What was published in one proxy's session. */
  private static final class Session {
    private int commits;
    private final LinkedHashMap<AckId, Long> pendingAcks = new LinkedHashMap<>();

    void await(AckId ack, long commandedAt) {
      if (pendingAcks.size() >= MAX_PENDING_ACKS) {
        pendingAcks.remove(pendingAcks.keySet().iterator().next());
      }
      pendingAcks.put(ack, commandedAt);
    }
  }

  private final KeyStore keys;
  private final PublishedKeyCodec codec;
  private final String epoch;
  private final ProxySessions<?> proxies;
  private final Map<Integer, Session> sessions = new HashMap<>();

  /**
   * Creates a state over a store.
   *
   * @param epoch names this start of the instance
   * @param proxies the names and sessions of the proxies
   */
  public PublishedState(
      KeyStore keys, PublishedKeyCodec codec, String epoch, ProxySessions<?> proxies) {
    this.keys = keys;
    this.codec = codec;
    this.epoch = epoch;
    this.proxies = proxies;
  }

  /**
   * Returns the name of a proxy's session, the wire's {@code origin}: this start of the instance
   * and the number of the session.
   */
  public String sessionId(ProxyId proxy) {
    return epoch + "-" + proxies.sessionNumber(proxy);
  }

  /**
   * Publishes an update that left the channel. If the store is full, the update is not committed
   * and nobody is notified of it: keys set before the store was full stay in it and appear in
   * snapshots, and it is not tried again. No metric counts this. Where only the commit key has no
   * room, the session's count of updates and the pending acknowledgement include the update.
   *
   * @return its keys and then the commit; empty if the store has no room for them
   */
  public List<KeyUpdate> publish(ProxyUpdate update) {
    String subtree = subtree(update.proxy());
    List<KeyUpdate> published = new ArrayList<>();
    for (ProxyChange change : update.changes()) {
      Optional<KeyUpdate> key = publish(subtree + codec.key(change.subject()), change);
      if (key.isEmpty()) {
        // Without all its keys an update must not commit: the proxy keeps what it has.
        return List.of();
      }
      published.add(key.get());
    }
    Session session = sessions.computeIfAbsent(update.proxy().number(), number -> new Session());
    session.commits++;
    update.ack().ifPresent(ack -> session.await(ack, update.commandedAt()));
    String commit = commit(update, session.commits, published.size());
    Optional<KeyUpdate> last = put(subtree + COMMIT, commit);
    if (last.isEmpty()) {
      return List.of();
    }
    published.add(last.get());
    return published;
  }

  private Optional<KeyUpdate> publish(String key, ProxyChange change) {
    Optional<String> value = codec.value(change);
    return value.isPresent() ? put(key, value.get()) : Optional.of(keys.delete(key));
  }

  private String commit(ProxyUpdate update, int count, int changedKeys) {
    return "{\"origin\":\""
        + sessionId(update.proxy())
        + "\",\"at\":"
        + count
        + ",\"keys\":"
        + changedKeys
        + update.ack().map(ack -> ",\"mark\":" + ack.number()).orElse("")
        + "}";
  }

  /** Publishes that a proxy's session began. */
  public List<KeyUpdate> publishSessionStart(ProxyId proxy) {
    return put(presenceKey(proxy), "{\"origin\":\"" + sessionId(proxy) + "\"}").stream().toList();
  }

  /**
   * Publishes that a proxy's session ended. Its keys are dropped; the deleted commit notifies
   * whoever follows them.
   */
  public List<KeyUpdate> publishSessionEnd(ProxyId proxy) {
    String subtree = subtree(proxy);
    boolean committed = keys.contains(subtree + COMMIT);
    sessions.remove(proxy.number());
    keys.discardSubtree(subtree);
    List<KeyUpdate> updates = new ArrayList<>();
    if (committed) {
      updates.add(keys.delete(subtree + COMMIT));
    }
    updates.add(keys.delete(presenceKey(proxy)));
    return updates;
  }

  /**
   * Takes an acknowledgement.
   *
   * @return when its update was commanded; empty if it was never requested in this session, or
   *     given already
   */
  public OptionalLong acknowledge(ProxyId proxy, AckId ack) {
    Session session = sessions.get(proxy.number());
    Long commandedAt = session == null ? null : session.pendingAcks.remove(ack);
    return commandedAt == null ? OptionalLong.empty() : OptionalLong.of(commandedAt);
  }

  /** Publishes the instance's status, a JSON object. */
  public List<KeyUpdate> publishStatus(String json) {
    return put(STATUS, json).stream().toList();
  }

  private String subtree(ProxyId proxy) {
    return PROXIES + proxies.name(proxy) + "/";
  }

  private String presenceKey(ProxyId proxy) {
    return PRESENCE + proxies.name(proxy);
  }

  private Optional<KeyUpdate> put(String key, String value) {
    return keys.put(key, value.getBytes(StandardCharsets.UTF_8));
  }
}

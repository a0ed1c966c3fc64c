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
 * Publishes the state of the instance as keys: a subtree for each proxy, a presence key for each
 * session, and the status of the instance. An update of a proxy changes keys of its subtree and
 * ends with the commit key. A snapshot taken between two method calls contains only whole updates,
 * except those that failed because the store was full. Not thread-safe.
 *
 * <p>The value of the commit key is a JSON object: {@code origin} is the id of the session, {@code
 * at} is the number of the update within the session, from 1, {@code keys} is the number of keys
 * that the update changed, and {@code mark}, if present, is the requested acknowledgement.
 */
public final class PublishedState {
  private static final String PROXY_PREFIX = "/proxy/";
  private static final String PRESENCE_PREFIX = "/presence/";
  private static final String STATUS_KEY = "/assigner/status";
  private static final String COMMIT_KEY = "commit";

  /**
   * Maximum number of outstanding acknowledgements for each proxy; the oldest is discarded when the
   * number is exceeded. A proxy that exceeds it does not send acknowledgements at all.
   */
  private static final int MAX_PENDING_ACKS = 4096;

  /** The updates published in the session of one proxy. */
  private static final class Session {
    private int commitCount;
    private final LinkedHashMap<AckId, Long> pendingAcks = new LinkedHashMap<>();

    void addPendingAck(AckId ack, long commandedAt) {
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
  private final Map<Integer, Session> sessionsByProxy = new HashMap<>();

  /**
   * Creates the published state.
   *
   * @param keys the store for the published keys
   * @param epoch identifies this start of the instance; unique among all starts
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
   * Returns the id of the session of a proxy, which consists of the epoch and the session number.
   * The protocol calls it {@code origin}.
   */
  public String sessionId(ProxyId proxy) {
    return epoch + "-" + proxies.sessionNumber(proxy);
  }

  /**
   * Publishes an update that left the channel. If the store becomes full, the update is not
   * committed, subscribers are not notified, and it is not published again later. Keys set before
   * the store became full remain in it and appear in snapshots. No metric counts such updates. If
   * only the commit key does not fit, the number of the session's updates and the pending
   * acknowledgements still include the update.
   *
   * @return the updates of the changed keys, then that of the commit key; empty if the store is
   *     full
   */
  public List<KeyUpdate> publish(ProxyUpdate update) {
    String subtree = subtree(update.proxy());
    List<KeyUpdate> published = new ArrayList<>();
    for (ProxyChange change : update.changes()) {
      Optional<KeyUpdate> changedKey = publishChange(subtree + codec.key(change.subject()), change);
      if (changedKey.isEmpty()) {
        // An incomplete update must not be committed; the proxy keeps its previous state.
        return List.of();
      }
      published.add(changedKey.get());
    }
    Session session =
        sessionsByProxy.computeIfAbsent(update.proxy().number(), number -> new Session());
    session.commitCount++;
    update.ack().ifPresent(ack -> session.addPendingAck(ack, update.commandedAt()));
    String commitValue = commitJson(update, session.commitCount, published.size());
    Optional<KeyUpdate> commitKey = putText(subtree + COMMIT_KEY, commitValue);
    if (commitKey.isEmpty()) {
      return List.of();
    }
    published.add(commitKey.get());
    return published;
  }

  private Optional<KeyUpdate> publishChange(String key, ProxyChange change) {
    Optional<String> value = codec.value(change);
    return value.isPresent() ? putText(key, value.get()) : Optional.of(keys.delete(key));
  }

  private String commitJson(ProxyUpdate update, int updateNumber, int changedKeyCount) {
    return "{\"origin\":\""
        + sessionId(update.proxy())
        + "\",\"at\":"
        + updateNumber
        + ",\"keys\":"
        + changedKeyCount
        + update.ack().map(ack -> ",\"mark\":" + ack.number()).orElse("")
        + "}";
  }

  /** Publishes the presence key of a proxy whose session started. */
  public List<KeyUpdate> publishSessionStart(ProxyId proxy) {
    return putText(presenceKey(proxy), "{\"origin\":\"" + sessionId(proxy) + "\"}").stream()
        .toList();
  }

  /**
   * Deletes the presence key and the subtree of a proxy whose session ended. Of the subtree only
   * the commit key causes an update, which notifies the subscribers.
   */
  public List<KeyUpdate> publishSessionEnd(ProxyId proxy) {
    String subtree = subtree(proxy);
    boolean committed = keys.contains(subtree + COMMIT_KEY);
    sessionsByProxy.remove(proxy.number());
    keys.discardSubtree(subtree);
    List<KeyUpdate> updates = new ArrayList<>();
    if (committed) {
      updates.add(keys.delete(subtree + COMMIT_KEY));
    }
    updates.add(keys.delete(presenceKey(proxy)));
    return updates;
  }

  /**
   * Records an acknowledgement.
   *
   * @return when the update was commanded, {@link stonespring.model.DeciMillis}; empty if the
   *     acknowledgement is not pending in this session
   */
  public OptionalLong acknowledge(ProxyId proxy, AckId ack) {
    Session session = sessionsByProxy.get(proxy.number());
    Long commandedAt = session == null ? null : session.pendingAcks.remove(ack);
    return commandedAt == null ? OptionalLong.empty() : OptionalLong.of(commandedAt);
  }

  /** Publishes the status of the instance, a JSON object. */
  public List<KeyUpdate> publishStatus(String json) {
    return putText(STATUS_KEY, json).stream().toList();
  }

  private String subtree(ProxyId proxy) {
    return PROXY_PREFIX + proxies.name(proxy) + "/";
  }

  private String presenceKey(ProxyId proxy) {
    return PRESENCE_PREFIX + proxies.name(proxy);
  }

  private Optional<KeyUpdate> putText(String key, String value) {
    return keys.put(key, value.getBytes(StandardCharsets.UTF_8));
  }
}

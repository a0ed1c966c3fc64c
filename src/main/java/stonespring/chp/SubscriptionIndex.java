package stonespring.chp;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import stonespring.zmtp.ZmtpConnection;

/**
 * Who subscribed to which prefixes. A key is looked up by its own prefixes, so that the cost
 * depends on the key's length and not on the number of subscribers. Not thread-safe.
 */
final class SubscriptionIndex {
  /** How often each connection subscribed to a prefix, in order of the first subscription. */
  private final Map<String, Map<ZmtpConnection, Integer>> countsByPrefix = new HashMap<>();

  /** How many prefixes of each length there are. */
  private final TreeMap<Integer, Integer> prefixCountsByLength = new TreeMap<>();

  private final Map<ZmtpConnection, Set<String>> prefixesByConnection = new HashMap<>();

  /** The form of bytes in which keys and prefixes are compared: a character for each byte. */
  static String toByteString(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  void add(ZmtpConnection connection, String prefix) {
    Map<ZmtpConnection, Integer> counts = countsByPrefix.get(prefix);
    if (counts == null) {
      counts = new LinkedHashMap<>();
      countsByPrefix.put(prefix, counts);
      prefixCountsByLength.merge(prefix.length(), 1, Integer::sum);
    }
    counts.merge(connection, 1, Integer::sum);
    prefixesByConnection.computeIfAbsent(connection, key -> new LinkedHashSet<>()).add(prefix);
  }

  /** Cancels one of the connection's subscriptions to a prefix, if there is one. */
  void remove(ZmtpConnection connection, String prefix) {
    Map<ZmtpConnection, Integer> counts = countsByPrefix.get(prefix);
    if (counts == null || !counts.containsKey(connection)) {
      return;
    }
    int remaining = counts.get(connection) - 1;
    if (remaining > 0) {
      counts.put(connection, remaining);
    } else {
      removePrefix(connection, prefix);
      prefixesByConnection.get(connection).remove(prefix);
    }
  }

  /** Cancels all of a connection's subscriptions. */
  void removeConnection(ZmtpConnection connection) {
    Set<String> prefixes = prefixesByConnection.remove(connection);
    if (prefixes != null) {
      prefixes.forEach(prefix -> removePrefix(connection, prefix));
    }
  }

  private void removePrefix(ZmtpConnection connection, String prefix) {
    Map<ZmtpConnection, Integer> counts = countsByPrefix.get(prefix);
    if (counts == null || counts.remove(connection) == null || !counts.isEmpty()) {
      return;
    }
    countsByPrefix.remove(prefix);
    if (prefixCountsByLength.merge(prefix.length(), -1, Integer::sum) == 0) {
      prefixCountsByLength.remove(prefix.length());
    }
  }

  /** The connections that subscribed to exactly this prefix. */
  Set<ZmtpConnection> subscribersOfExactPrefix(String prefix) {
    return countsByPrefix.getOrDefault(prefix, Map.of()).keySet();
  }

  /** The connections that subscribed to any prefix of the key, each once. */
  List<ZmtpConnection> subscribersOfKey(String key) {
    List<ZmtpConnection> subscribers = new ArrayList<>();
    // Needed from the second matching prefix on only.
    Set<ZmtpConnection> seen = null;
    for (int length : prefixCountsByLength.keySet()) {
      if (length > key.length()) {
        break;
      }
      Set<ZmtpConnection> matching = subscribersOfExactPrefix(key.substring(0, length));
      if (seen == null && !subscribers.isEmpty() && !matching.isEmpty()) {
        seen = new LinkedHashSet<>(subscribers);
      }
      for (ZmtpConnection connection : matching) {
        if (seen == null || seen.add(connection)) {
          subscribers.add(connection);
        }
      }
    }
    return subscribers;
  }
}

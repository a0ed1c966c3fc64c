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
 * Maps key prefixes to the connections that subscribed to them. The subscribers of a key are found
 * by looking up each prefix of the key, so that the cost depends on the key's length and the number
 * of matching subscribers, not on the number of all subscribers. Not thread-safe.
 */
final class SubscriptionIndex {
  /**
   * For each prefix, how many times each connection subscribed to it; connections in the order of
   * their first subscription.
   */
  private final Map<String, Map<ZmtpConnection, Integer>> countsByPrefix = new HashMap<>();

  /** The number of distinct prefixes of each length, in bytes. */
  private final TreeMap<Integer, Integer> prefixCountsByLength = new TreeMap<>();

  private final Map<ZmtpConnection, Set<String>> prefixesByConnection = new HashMap<>();

  /** Converts bytes to a string of one character per byte, so that prefixes match bytewise. */
  static String toByteString(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  void add(ZmtpConnection connection, String prefix) {
    Map<ZmtpConnection, Integer> subscriptionCounts = countsByPrefix.get(prefix);
    if (subscriptionCounts == null) {
      subscriptionCounts = new LinkedHashMap<>();
      countsByPrefix.put(prefix, subscriptionCounts);
      prefixCountsByLength.merge(prefix.length(), 1, Integer::sum);
    }
    subscriptionCounts.merge(connection, 1, Integer::sum);
    prefixesByConnection.computeIfAbsent(connection, key -> new LinkedHashSet<>()).add(prefix);
  }

  /** Cancels one subscription of a connection to a prefix; no effect if there is none. */
  void remove(ZmtpConnection connection, String prefix) {
    Map<ZmtpConnection, Integer> subscriptionCounts = countsByPrefix.get(prefix);
    if (subscriptionCounts == null || !subscriptionCounts.containsKey(connection)) {
      return;
    }
    int remaining = subscriptionCounts.get(connection) - 1;
    if (remaining > 0) {
      subscriptionCounts.put(connection, remaining);
    } else {
      removePrefix(connection, prefix);
      prefixesByConnection.get(connection).remove(prefix);
    }
  }

  /** Cancels all subscriptions of a connection. */
  void removeConnection(ZmtpConnection connection) {
    Set<String> prefixes = prefixesByConnection.remove(connection);
    if (prefixes != null) {
      prefixes.forEach(prefix -> removePrefix(connection, prefix));
    }
  }

  private void removePrefix(ZmtpConnection connection, String prefix) {
    Map<ZmtpConnection, Integer> subscriptionCounts = countsByPrefix.get(prefix);
    if (subscriptionCounts == null
        || subscriptionCounts.remove(connection) == null
        || !subscriptionCounts.isEmpty()) {
      return;
    }
    countsByPrefix.remove(prefix);
    if (prefixCountsByLength.merge(prefix.length(), -1, Integer::sum) == 0) {
      prefixCountsByLength.remove(prefix.length());
    }
  }

  /** Returns the connections that subscribed to exactly this prefix. */
  Set<ZmtpConnection> subscribersOfExactPrefix(String prefix) {
    return countsByPrefix.getOrDefault(prefix, Map.of()).keySet();
  }

  /** Returns the connections that subscribed to any prefix of the key, without duplicates. */
  List<ZmtpConnection> subscribersOfKey(String key) {
    List<ZmtpConnection> subscribers = new ArrayList<>();
    // The subscribers found so far; null until a second prefix matches, as one prefix alone gives
    // no duplicates.
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

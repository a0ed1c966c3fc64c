package stonespring.proxy.routing;

import java.util.Locale;
import stonespring.model.RetryPolicy;

/** One change to a proxy's published state, decoded from a key and its value. */
sealed interface PublishedChange {
  /** Key segment that replaces the table's number in a limit that applies to all tables. */
  String ALL_TABLES = "every";

  /** Sets a route, or removes it if the weight is null. */
  record RouteChange(String table, String endpoint, Double weight) implements PublishedChange {}

  /** Assigns a table to a request class. */
  record TableAssignment(String requestClass, String table) implements PublishedChange {}

  /** Excludes an endpoint or ends its exclusion. */
  record Exclusion(String endpoint, boolean excluded) implements PublishedChange {}

  /** Sets a limit, or removes it if it is null. */
  record LimitChange(String table, String requestClass, AdmissionLimit limit)
      implements PublishedChange {}

  /** A key that this version does not know and ignores: later versions may publish further keys. */
  record Unknown() implements PublishedChange {}

  /** Exclusive upper bound of weights and limits; larger values are rejected. */
  double MAX_NUMBER = 1e12;

  /**
   * The published word for {@link RetryPolicy#IF_NOT_EXECUTED}. Every other policy is published
   * under its constant's name in lower case.
   */
  String IF_NOT_EXECUTED_WORD = "on_proof";

  /**
   * Decodes a change.
   *
   * @param key relative to the proxy's subtree
   * @param value null if the key was deleted
   * @throws IllegalArgumentException if the key is known and its value is malformed
   */
  static PublishedChange read(String key, String value) {
    String[] segments = key.split("/", 3);
    return switch (segments[0]) {
      case "line" -> route(segments, value == null ? null : weight(key, value));
      case "level" -> limit(segments, value == null ? null : limit(key, value));
      case "bind" -> segments.length == 2 ? new TableAssignment(segments[1], value) : new Unknown();
      case "out" ->
          segments.length == 2 ? new Exclusion(segments[1], value != null) : new Unknown();
      default -> new Unknown();
    };
  }

  private static PublishedChange route(String[] segments, Double weight) {
    return segments.length == 3 ? new RouteChange(segments[1], segments[2], weight) : new Unknown();
  }

  private static PublishedChange limit(String[] segments, AdmissionLimit limit) {
    return segments.length == 3 ? new LimitChange(segments[1], segments[2], limit) : new Unknown();
  }

  private static double weight(String key, String value) {
    double weight = number(key, value);
    if (weight <= 0) {
      throw new IllegalArgumentException(
          key + ": expected a weight above 0, found '" + value + "'");
    }
    return weight;
  }

  private static double number(String key, String value) {
    try {
      double number = Double.parseDouble(value);
      if (number >= 0 && number < MAX_NUMBER) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with the key.
    }
    throw new IllegalArgumentException(
        key
            + ": expected a number of at least 0 and below "
            + MAX_NUMBER
            + ", found '"
            + value
            + "'");
  }

  private static AdmissionLimit limit(String key, String value) {
    String[] words = value.split(" ");
    RetryPolicy policy = words.length == 2 ? retryPolicy(words[1]) : null;
    if (policy == null) {
      throw new IllegalArgumentException(
          key
              + ": expected an admission limit and a retry policy, separated by a space, found '"
              + value
              + "'");
    }
    return new AdmissionLimit(number(key, words[0]), policy);
  }

  private static RetryPolicy retryPolicy(String word) {
    for (RetryPolicy policy : RetryPolicy.values()) {
      String name =
          policy == RetryPolicy.IF_NOT_EXECUTED
              ? IF_NOT_EXECUTED_WORD
              : policy.name().toLowerCase(Locale.ROOT);
      if (name.equals(word)) {
        return policy;
      }
    }
    return null;
  }
}

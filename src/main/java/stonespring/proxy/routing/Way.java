package stonespring.proxy.routing;

/** When an op is tried again at another task, as the assigner ordered it. */
public enum Way {
  NEVER,
  ON_PROOF,
  ONCE_ON_FAILURE,
  TWICE_ON_FAILURE;

  /** The way with that word on the wire; null where it is none. */
  static Way named(String word) {
    for (Way way : values()) {
      if (way.name().toLowerCase(java.util.Locale.ROOT).equals(word)) {
        return way;
      }
    }
    return null;
  }
}

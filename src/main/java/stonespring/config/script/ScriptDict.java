package stonespring.config.script;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** A dict of a script in insertion order, with the source locations of its entries. */
public final class ScriptDict extends LinkedHashMap<Object, Object> {
  private static final long serialVersionUID = 1;
  private final transient Map<Object, SourceLocation> locations = new HashMap<>();

  /** The location of an entry, or the given one if none is recorded. */
  public SourceLocation locationOf(Object key, SourceLocation defaultLocation) {
    return locations.getOrDefault(key, defaultLocation);
  }

  /** Sets an entry and records its source location. */
  void put(Object key, Object value, SourceLocation location) {
    put(key, value);
    locations.put(key, location);
  }

  /**
   * Returns a new dict with the entries of both. The entry of the second dict is used for a key
   * that is in both.
   */
  static ScriptDict union(ScriptDict first, ScriptDict second) {
    ScriptDict union = new ScriptDict();
    union.putAll(first);
    union.putAll(second);
    union.locations.putAll(first.locations);
    union.locations.putAll(second.locations);
    return union;
  }
}

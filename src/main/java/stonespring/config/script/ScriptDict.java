package stonespring.config.script;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** A dict of a script, in order of insertion, with the source location of each of its entries. */
public final class ScriptDict extends LinkedHashMap<Object, Object> {
  private static final long serialVersionUID = 1;
  private final transient Map<Object, SourceLocation> locations = new HashMap<>();

  /** The location of an entry, or the given one where none is known. */
  public SourceLocation locationOf(Object key, SourceLocation defaultLocation) {
    return locations.getOrDefault(key, defaultLocation);
  }

  /** Sets an entry that stands at a location of the source. */
  void put(Object key, Object value, SourceLocation location) {
    put(key, value);
    locations.put(key, location);
  }

  /** A new dict with the entries of both; those of the second one win. */
  static ScriptDict union(ScriptDict first, ScriptDict second) {
    ScriptDict union = new ScriptDict();
    union.putAll(first);
    union.putAll(second);
    union.locations.putAll(first.locations);
    union.locations.putAll(second.locations);
    return union;
  }
}

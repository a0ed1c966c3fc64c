package stonespring.config.script;

import java.util.ArrayList;
import java.util.List;

/**
 * A list of a script, with the source locations of the items of list expressions and
 * comprehensions. No location is recorded for other items, such as those of a range.
 */
public final class ScriptList extends ArrayList<Object> {
  private static final long serialVersionUID = 1;
  private final transient List<SourceLocation> locations = new ArrayList<>();

  /** The location of an item, or the given one if none is recorded. */
  public SourceLocation locationOf(int index, SourceLocation defaultLocation) {
    return index < locations.size() ? locations.get(index) : defaultLocation;
  }

  /** Appends an item and records its source location. */
  void append(Object item, SourceLocation location) {
    add(item);
    locations.add(location);
  }

  /**
   * Returns a new list with the items of both; the given location is recorded for items that have
   * none.
   */
  static ScriptList concatenation(
      ScriptList first, ScriptList second, SourceLocation defaultLocation) {
    ScriptList all = new ScriptList();
    for (int i = 0; i < first.size(); i++) {
      all.append(first.get(i), first.locationOf(i, defaultLocation));
    }
    for (int i = 0; i < second.size(); i++) {
      all.append(second.get(i), second.locationOf(i, defaultLocation));
    }
    return all;
  }
}

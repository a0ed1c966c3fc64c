package stonespring.config.script;

import java.util.ArrayList;
import java.util.List;

/**
 * A list of a script, with the source locations of those of its items that were written out; a
 * computed item has the location of the list.
 */
public final class ScriptList extends ArrayList<Object> {
  private static final long serialVersionUID = 1;
  private final transient List<SourceLocation> locations = new ArrayList<>();

  /** The location of an item, or the given one where none is known. */
  public SourceLocation locationOf(int index, SourceLocation defaultLocation) {
    return index < locations.size() ? locations.get(index) : defaultLocation;
  }

  /** Appends an item that stands at a location of the source. */
  void append(Object item, SourceLocation location) {
    add(item);
    locations.add(location);
  }

  /** A new list of the items of both; items without a location get the one given. */
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

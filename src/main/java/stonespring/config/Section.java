package stonespring.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * One dict of a script as it is decoded: each read names a key, its type and its range, and notes a
 * fault where the value is none of these; reading goes on with a stand-in value, so that one run
 * finds every fault. Keys that were never read are faults too, told by {@link #done}.
 */
public final class Section {
  private final String name;
  private final Script.Dict dict;
  private final SourceLocation place;
  private final List<SettingsError> faults;
  private final TreeSet<String> known = new TreeSet<>();

  private Section(String name, Script.Dict dict, SourceLocation place, List<SettingsError> faults) {
    this.name = name;
    this.dict = dict;
    this.place = place;
    this.faults = faults;
  }

  /** The whole script's names as a section. */
  public static Section of(String file, Script.Dict globals, List<SettingsError> faults) {
    return new Section("", globals, new SourceLocation(file, 1, 1), faults);
  }

  private String path(String key) {
    return name.isEmpty() ? "'" + key + "'" : "'" + name + "." + key + "'";
  }

  private void fault(String key, String message) {
    faults.add(new SettingsError(dict.placeOf(key, place), path(key) + " " + message));
  }

  /** Notes a fault of a value that was read, where two values do not go together. */
  public void refuse(String key, String message) {
    fault(key, message);
  }

  private Object read(String key, boolean required) {
    known.add(key);
    if (required && !dict.containsKey(key)) {
      faults.add(new SettingsError(place, path(key) + " is missing"));
    }
    return dict.get(key);
  }

  public boolean has(String key) {
    known.add(key);
    return dict.get(key) != null;
  }

  public double number(String key, double least, double most, Double standard) {
    Object value = read(key, standard == null);
    if (value == null) {
      return standard == null ? least : standard;
    }
    if (!(value instanceof Number n)) {
      fault(key, "is a number, not " + Script.kind(value));
      return least;
    }
    if (!(n.doubleValue() >= least && n.doubleValue() <= most)) {
      fault(
          key,
          "is "
              + Schema.plain(n.doubleValue())
              + ", outside "
              + Schema.plain(least)
              + " to "
              + Schema.plain(most));
      return least;
    }
    return n.doubleValue();
  }

  public int whole(String key, int least, int most, Integer standard) {
    Object value = read(key, standard == null);
    if (value == null) {
      return standard == null ? least : standard;
    }
    if (!(value instanceof Long n)) {
      fault(key, "is a whole number, not " + Script.kind(value));
      return least;
    }
    if (n < least || n > most) {
      fault(key, "is " + n + ", outside " + least + " to " + most);
      return least;
    }
    return n.intValue();
  }

  public boolean flag(String key, boolean standard) {
    Object value = read(key, false);
    if (value != null && !(value instanceof Boolean)) {
      fault(key, "is True or False, not " + Script.kind(value));
    }
    return value instanceof Boolean b ? b : standard;
  }

  public String text(String key, String pattern, String standard) {
    Object value = read(key, standard == null);
    if (value == null) {
      return standard == null ? "" : standard;
    }
    if (!(value instanceof String s) || !s.matches(pattern)) {
      fault(
          key,
          value instanceof String
              ? "is '" + value + "', which does not fit " + pattern
              : "is a string, not " + Script.kind(value));
      return standard == null ? "" : standard;
    }
    return s;
  }

  /** One of some words; {@code standard} null where the key is required. */
  public String word(String key, List<String> words, String standard) {
    Object value = read(key, standard == null);
    if (value == null) {
      return standard == null ? words.get(0) : standard;
    }
    if (!(value instanceof String s) || !words.contains(s)) {
      fault(
          key,
          "is one of "
              + String.join(", ", words)
              + (value instanceof String s
                  ? ", not '" + s + "'" + Schema.nearest(s, words)
                  : ", not " + Script.kind(value)));
      return words.get(0);
    }
    return s;
  }

  public List<String> texts(String key, String pattern, int least, int most) {
    List<String> texts = new ArrayList<>();
    Script.Items list = items(key, least, most);
    for (int i = 0; list != null && i < list.size(); i++) {
      if (list.get(i) instanceof String s && s.matches(pattern) && !texts.contains(s)) {
        texts.add(s);
      } else {
        faults.add(
            new SettingsError(
                list.placeOf(i, dict.placeOf(key, place)),
                path(key)
                    + " holds "
                    + (texts.contains(list.get(i))
                        ? "'" + list.get(i) + "' twice"
                        : "something that does not fit " + pattern)));
      }
    }
    return texts;
  }

  private Script.Items items(String key, int least, int most) {
    Object value = read(key, least > 0);
    if (value == null) {
      return null;
    }
    if (!(value instanceof Script.Items list)) {
      fault(key, "is a list, not " + Script.kind(value));
      return null;
    }
    if (list.size() < least || list.size() > most) {
      fault(key, "holds " + list.size() + " items, outside " + least + " to " + most);
    }
    return list;
  }

  /**
   * A dict below this one; an empty one where it is missing: required keys in it are faults then.
   */
  public Section section(String key, boolean required) {
    Object value = read(key, required);
    SourceLocation at = dict.placeOf(key, place);
    String path = name.isEmpty() ? key : name + "." + key;
    if (value != null && !(value instanceof Script.Dict)) {
      fault(key, "is a dict, not " + Script.kind(value));
    }
    return new Section(
        path,
        value instanceof Script.Dict d ? d : new Script.Dict(),
        at,
        value == null && required ? new ArrayList<>() : faults);
  }

  /** A list of dicts. */
  public List<Section> sections(String key, int least, int most) {
    List<Section> sections = new ArrayList<>();
    Script.Items list = items(key, least, most);
    for (int i = 0; list != null && i < list.size(); i++) {
      SourceLocation at = list.placeOf(i, dict.placeOf(key, place));
      if (list.get(i) instanceof Script.Dict d) {
        sections.add(
            new Section((name.isEmpty() ? key : name + "." + key) + "[" + i + "]", d, at, faults));
      } else {
        faults.add(
            new SettingsError(
                at, path(key) + " holds " + Script.kind(list.get(i)) + " where a dict belongs"));
      }
    }
    return sections;
  }

  /** Ends the reading: what was not asked for is not known. */
  public void done() {
    for (Object key : dict.keySet()) {
      if (!known.contains(String.valueOf(key))) {
        fault(String.valueOf(key), "is not known" + Schema.nearest(String.valueOf(key), known));
      }
    }
  }
}

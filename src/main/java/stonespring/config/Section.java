package stonespring.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import stonespring.config.script.NearestName;
import stonespring.config.script.ScriptDict;
import stonespring.config.script.ScriptList;
import stonespring.config.script.SettingsError;
import stonespring.config.script.SourceLocation;
import stonespring.config.script.Values;

/**
 * Decodes one dict of a script. Each read method takes a key with its type and range. An invalid
 * value is recorded as an error and replaced by a valid one, so that one run reports every error.
 * {@link #rejectUnknownKeys} records an error for each key that was never read.
 *
 * <p>A null {@code defaultValue} makes a key required. Not thread-safe.
 */
public final class Section {
  private final String name;
  private final ScriptDict dict;
  private final SourceLocation location;
  private final List<SettingsError> errors;
  private final TreeSet<String> knownKeys = new TreeSet<>();

  private Section(
      String name, ScriptDict dict, SourceLocation location, List<SettingsError> errors) {
    this.name = name;
    this.dict = dict;
    this.location = location;
    this.errors = errors;
  }

  /**
   * Creates a section of the names that a script sets at its top level.
   *
   * @param errors receives the errors of this section and of those within it
   */
  public static Section of(String file, ScriptDict globals, List<SettingsError> errors) {
    return new Section("", globals, new SourceLocation(file, 1, 1), errors);
  }

  /**
   * Records an error for a key, for example that its value contradicts another one.
   *
   * @param message the predicate of the error message, whose subject is the quoted key, such as
   *     {@code must be unique}
   */
  public void reject(String key, String message) {
    addError(locationOf(key), key, message);
  }

  /** Marks a key as known although it is not read here. */
  void ignoreKey(String key) {
    knownKeys.add(key);
  }

  /** Reads a number; an invalid one is replaced by {@code minimum}. */
  public double number(String key, double minimum, double maximum, Double defaultValue) {
    Object value = read(key, defaultValue == null);
    if (value == null) {
      return defaultValue == null ? minimum : defaultValue;
    }
    if (!(value instanceof Number boxed)) {
      reject(key, "must be a number, got " + Values.typeName(value));
      return minimum;
    }
    double number = boxed.doubleValue();
    if (!(number >= minimum && number <= maximum)) {
      reject(
          key,
          describeOutOfRange(
              Values.formatNumber(number),
              Values.formatNumber(minimum),
              Values.formatNumber(maximum)));
      return minimum;
    }
    return number;
  }

  /** Reads a whole number; an invalid one is replaced by {@code minimum}. */
  public int integer(String key, int minimum, int maximum, Integer defaultValue) {
    Object value = read(key, defaultValue == null);
    if (value == null) {
      return defaultValue == null ? minimum : defaultValue;
    }
    if (!(value instanceof Long number)) {
      reject(key, "must be a whole number, got " + Values.typeName(value));
      return minimum;
    }
    if (number < minimum || number > maximum) {
      reject(key, describeOutOfRange(number, minimum, maximum));
      return minimum;
    }
    return number.intValue();
  }

  private static String describeOutOfRange(Object value, Object minimum, Object maximum) {
    return "must be from " + minimum + " to " + maximum + ", got " + value;
  }

  /** Reads an optional boolean. */
  public boolean bool(String key, boolean defaultValue) {
    Object value = read(key, false);
    if (value != null && !(value instanceof Boolean)) {
      reject(key, "must be True or False, got " + Values.typeName(value));
    }
    return value instanceof Boolean flag ? flag : defaultValue;
  }

  /**
   * Reads a string that matches a regular expression; an invalid one is replaced by the default
   * value, or by the empty string if there is none.
   */
  public String text(String key, String pattern, String defaultValue) {
    Object value = read(key, defaultValue == null);
    String replacement = defaultValue == null ? "" : defaultValue;
    if (value == null) {
      return replacement;
    }
    if (!(value instanceof String text)) {
      reject(key, "must be a string, got " + Values.typeName(value));
      return replacement;
    }
    if (!text.matches(pattern)) {
      reject(key, "must match " + pattern + ", got '" + text + "'");
      return replacement;
    }
    return text;
  }

  /**
   * Reads a string that must be one of the given words; an invalid value is replaced by the first
   * of these words.
   */
  public String choice(String key, List<String> words, String defaultValue) {
    Object value = read(key, defaultValue == null);
    if (value == null) {
      return defaultValue == null ? words.get(0) : defaultValue;
    }
    if (!(value instanceof String word)) {
      rejectChoice(key, words, Values.typeName(value));
      return words.get(0);
    }
    if (!words.contains(word)) {
      rejectChoice(key, words, "'" + word + "'" + NearestName.hint(word, words));
      return words.get(0);
    }
    return word;
  }

  private void rejectChoice(String key, List<String> words, String found) {
    reject(key, "must be one of " + String.join(", ", words) + ", got " + found);
  }

  /**
   * Reads a list of distinct strings that match a regular expression; invalid items are left out.
   * The list is required if {@code minimumSize} is above 0.
   */
  public List<String> texts(String key, String pattern, int minimumSize, int maximumSize) {
    List<String> texts = new ArrayList<>();
    ScriptList list = list(key, minimumSize, maximumSize);
    for (int i = 0; i < list.size(); i++) {
      Object item = list.get(i);
      if (texts.contains(item)) {
        addError(
            locationOf(key, list, i),
            key,
            "must have distinct items, got '" + item + "' more than once");
      } else if (item instanceof String text && text.matches(pattern)) {
        texts.add(text);
      } else {
        String found = item instanceof String text ? "'" + text + "'" : Values.typeName(item);
        addError(
            locationOf(key, list, i),
            key,
            "must contain only strings that match " + pattern + ", got " + found);
      }
    }
    return texts;
  }

  /**
   * Reads a dict. A missing or invalid one is replaced by an empty one. If a required dict is
   * missing, only its absence is reported, not that of its keys.
   */
  public Section section(String key, boolean required) {
    Object value = read(key, required);
    if (value != null && !(value instanceof ScriptDict)) {
      reject(key, "must be a dict, got " + Values.typeName(value));
    }
    List<SettingsError> discardedErrors = new ArrayList<>();
    return new Section(
        qualifiedName(key),
        value instanceof ScriptDict child ? child : new ScriptDict(),
        locationOf(key),
        value == null && required ? discardedErrors : errors);
  }

  /**
   * Reads a list of dicts; other items are left out. The list is required if {@code minimumSize} is
   * above 0.
   */
  public List<Section> sections(String key, int minimumSize, int maximumSize) {
    List<Section> sections = new ArrayList<>();
    ScriptList list = list(key, minimumSize, maximumSize);
    for (int i = 0; i < list.size(); i++) {
      SourceLocation itemLocation = locationOf(key, list, i);
      if (list.get(i) instanceof ScriptDict child) {
        sections.add(new Section(qualifiedName(key) + "[" + i + "]", child, itemLocation, errors));
      } else {
        addError(itemLocation, key, "must contain only dicts, got " + Values.typeName(list.get(i)));
      }
    }
    return sections;
  }

  /** Records an error for each key that was not read; to be called after all reads. */
  public void rejectUnknownKeys() {
    for (Object entryKey : dict.keySet()) {
      String key = String.valueOf(entryKey);
      if (!knownKeys.contains(key)) {
        reject(key, "is not a known key" + NearestName.hint(key, knownKeys));
      }
    }
  }

  private Object read(String key, boolean required) {
    knownKeys.add(key);
    if (required && !dict.containsKey(key)) {
      addError(location, key, "is missing");
    }
    return dict.get(key);
  }

  /**
   * Reads a list. A missing value, or a value of another type, is replaced by an empty list. A list
   * of a wrong size is recorded as an error and returned as it is.
   */
  private ScriptList list(String key, int minimumSize, int maximumSize) {
    Object value = read(key, minimumSize > 0);
    if (value == null) {
      return new ScriptList();
    }
    if (!(value instanceof ScriptList list)) {
      reject(key, "must be a list, got " + Values.typeName(value));
      return new ScriptList();
    }
    if (list.size() < minimumSize || list.size() > maximumSize) {
      reject(key, "must have " + minimumSize + " to " + maximumSize + " items, got " + list.size());
    }
    return list;
  }

  private String qualifiedName(String key) {
    return name.isEmpty() ? key : name + "." + key;
  }

  private SourceLocation locationOf(String key) {
    return dict.locationOf(key, location);
  }

  private SourceLocation locationOf(String key, ScriptList list, int index) {
    return list.locationOf(index, locationOf(key));
  }

  private void addError(SourceLocation errorLocation, String key, String message) {
    errors.add(new SettingsError(errorLocation, "'" + qualifiedName(key) + "' " + message));
  }
}

package stonespring.line;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A message of the line protocol: words that are separated by one space each.
 *
 * @param kind the first word
 * @param fields the {@code name=value} words, in order; incomplete if there is an error
 * @param error the reason for which the fields are invalid; empty if they are valid. A receiver
 *     that knows the kind may drop this message and keep the connection
 */
public record LineMessage(String kind, Map<String, String> fields, Optional<String> error) {
  /** Maximum number of fields, far above that of any kind of message. */
  private static final int MAX_FIELDS = 64;

  private static final int MAX_PRINTED_CHARS = 60;

  /** Parses a line, which is given without its CR LF. */
  public static LineMessage parse(String line) {
    String[] words = line.split(" ", -1);
    String kind = words[0];
    if (words.length - 1 > MAX_FIELDS) {
      return new LineMessage(kind, Map.of(), Optional.of("it has over " + MAX_FIELDS + " words"));
    }
    Map<String, String> fields = new LinkedHashMap<>();
    Optional<String> error = Optional.empty();
    for (int i = 1; i < words.length; i++) {
      int separator = words[i].indexOf('=');
      if (separator < 1) {
        error = Optional.of("word " + i + " is not name=value");
        continue;
      }
      String name = words[i].substring(0, separator);
      if (fields.put(name, words[i].substring(separator + 1)) != null) {
        error = Optional.of("'" + printable(name) + "' comes twice");
      }
    }
    return new LineMessage(kind, fields, error);
  }

  /** Returns a peer's text in a form that is safe to log: shortened, printable ASCII only. */
  public static String printable(String text) {
    String shortened = text.substring(0, Math.min(MAX_PRINTED_CHARS, text.length()));
    return shortened.replaceAll("[^\\x20-\\x7e]", "?");
  }
}

package stonespring.line;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One message: its kind and its {@code name=value} words. A flaw says why the words can't be read,
 * where they can't: a reader that knows the kind may then drop this message alone.
 */
public record LineMessage(String kind, Map<String, String> words, String flaw) {
  private static final int WORDS_MOST = 64; // of one message; no kind has a tenth of it

  /** Reads a line without its end. */
  public static LineMessage read(String line) {
    String[] parts = line.split(" ", -1);
    Map<String, String> words = new LinkedHashMap<>();
    if (parts.length - 1 > WORDS_MOST) {
      return new LineMessage(parts[0], Map.of(), "it has over " + WORDS_MOST + " words");
    }
    String flaw = null;
    for (int i = 1; i < parts.length; i++) {
      int at = parts[i].indexOf('=');
      if (at < 1) {
        flaw = "word " + i + " is not name=value";
      } else if (words.put(parts[i].substring(0, at), parts[i].substring(at + 1)) != null) {
        flaw = "'" + printable(parts[i].substring(0, at)) + "' comes twice";
      }
    }
    return new LineMessage(parts[0], words, flaw);
  }

  /** A peer's text as a log line may hold it. */
  public static String printable(String text) {
    return text.substring(0, Math.min(60, text.length())).replaceAll("[^\\x20-\\x7e]", "?");
  }
}

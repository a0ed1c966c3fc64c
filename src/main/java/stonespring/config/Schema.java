package stonespring.config;

import java.util.Collection;

/**
 * What the language and the sections share: the nearest known name for a wrong one, and numbers as
 * people write them.
 */
final class Schema {
  private Schema() {}

  /** A hint at the known name that is nearest to a wrong one; empty where none is near. */
  static String nearest(String wrong, Collection<String> known) {
    String best = null;
    int least = Math.max(2, wrong.length() / 3) + 1;
    for (String name : known.stream().sorted().toList()) {
      int distance = distance(wrong, name);
      if (distance < least) {
        least = distance;
        best = name;
      }
    }
    return best == null ? "" : "; did you mean '" + best + "'?";
  }

  /** Edits from one word to another (Levenshtein). */
  private static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int replace = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(replace, Math.min(row[j], row[j - 1]) + 1);
      }
    }
    return row[b.length()];
  }

  static String plain(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? String.valueOf((long) value)
        : String.valueOf(value);
  }
}

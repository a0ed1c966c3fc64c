package stonespring.config.script;

import java.util.Collection;

/** Suggests the known name that a misspelled one most likely stands for. */
public final class NearestName {
  private NearestName() {}

  /**
   * Returns a suggestion of the known name nearest to a misspelled one, to be appended to an error
   * message.
   *
   * @return the empty string if no known name is near enough
   */
  public static String hint(String misspelled, Collection<String> known) {
    String nearest = null;
    int smallestDistance = Math.max(2, misspelled.length() / 3) + 1;
    for (String name : known.stream().sorted().toList()) {
      int distance = editDistance(misspelled, name);
      if (distance < smallestDistance) {
        smallestDistance = distance;
        nearest = name;
      }
    }
    return nearest == null ? "" : "; did you mean '" + nearest + "'?";
  }

  /** The Levenshtein distance between two strings. */
  private static int editDistance(String from, String to) {
    int[] row = new int[to.length() + 1];
    for (int j = 0; j <= to.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= from.length(); i++) {
      int diagonalDistance = row[0];
      row[0] = i;
      for (int j = 1; j <= to.length(); j++) {
        int substitution = diagonalDistance + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        diagonalDistance = row[j];
        row[j] = Math.min(substitution, Math.min(row[j], row[j - 1]) + 1);
      }
    }
    return row[to.length()];
  }
}

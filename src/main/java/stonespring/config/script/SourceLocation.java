package stonespring.config.script;

/**
 * A position in a script.
 *
 * @param line counts from 1
 * @param column counts from 1
 */
public record SourceLocation(String file, int line, int column) {
  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}

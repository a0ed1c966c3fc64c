package stonespring.config.script;

/**
 * A position in a script file.
 *
 * @param line the line number, from 1
 * @param column the column number in the line, from 1
 */
public record SourceLocation(String file, int line, int column) {
  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}

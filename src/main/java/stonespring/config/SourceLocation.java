package stonespring.config;

/** Where something stands in a script; line and column count from 1. */
public record SourceLocation(String file, int line, int column) {
  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}

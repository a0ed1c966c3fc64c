package stonespring.config;

/** One fault of a script: where, and what. */
public record SettingsError(SourceLocation place, String message) {
  @Override
  public String toString() {
    return place + ": " + message;
  }
}

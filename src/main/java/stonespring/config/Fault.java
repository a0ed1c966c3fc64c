package stonespring.config;

/** One fault of a script: where, and what. */
public record Fault(Place place, String message) {
  @Override
  public String toString() {
    return place + ": " + message;
  }
}

package stonespring.testbed;

/** Thrown if a scenario could not be run to its end, so its invariants can't be checked. */
public final class ScenarioFailedException extends Exception {
  private static final long serialVersionUID = 1;

  ScenarioFailedException(String message) {
    super(message);
  }

  ScenarioFailedException(String message, Throwable cause) {
    super(message, cause);
  }
}

package stonespring.testbed;

/** A scenario could not be run to its end, so that there is nothing to judge. */
public final class ScenarioFailedException extends Exception {
  private static final long serialVersionUID = 1;

  ScenarioFailedException(String message) {
    super(message);
  }

  ScenarioFailedException(String message, Throwable cause) {
    super(message, cause);
  }
}

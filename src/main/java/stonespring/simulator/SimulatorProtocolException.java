package stonespring.simulator;

/**
 * Thrown when input of the simulator violates its protocol, or a command would; the message text
 * names the message or command and the field.
 */
public final class SimulatorProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public SimulatorProtocolException(String message) {
    super(message);
  }
}

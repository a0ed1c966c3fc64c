package stonespring.simulator;

/**
 * Thrown when input from the simulator, or a command to be sent to it, violates the simulator's
 * protocol. The exception message names the protocol message or command and the field.
 */
public final class SimulatorProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public SimulatorProtocolException(String message) {
    super(message);
  }
}

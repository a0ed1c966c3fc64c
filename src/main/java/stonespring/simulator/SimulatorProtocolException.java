package stonespring.simulator;

/** Input or a command that breaks the wire's form; the text names the message and the field. */
public final class SimulatorProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public SimulatorProtocolException(String message) {
    super(message);
  }
}

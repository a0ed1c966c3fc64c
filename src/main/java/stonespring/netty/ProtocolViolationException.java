package stonespring.netty;

/**
 * A peer sent bytes that its protocol does not allow. Nothing that follows on the connection can be
 * interpreted. It has no stack trace, as peers may cause it at will.
 */
public abstract class ProtocolViolationException extends RuntimeException {
  private static final long serialVersionUID = 1;

  protected ProtocolViolationException(String message) {
    super(message, null, false, false);
  }
}

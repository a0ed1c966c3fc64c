package stonespring.chp;

/** A message that the protocol does not allow; the text names command and field. */
public final class ChpException extends RuntimeException {
  private static final long serialVersionUID = 1;

  public ChpException(String message) {
    super(message, null, false, false);
  }
}

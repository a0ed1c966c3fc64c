package stonespring.zmtp;

/**
 * A peer said what the protocol does not allow; the text names the place. The connection ends with
 * it.
 */
public final class ZmtpException extends RuntimeException {
  private static final long serialVersionUID = 1;

  public ZmtpException(String message) {
    super(message, null, false, false);
  }
}

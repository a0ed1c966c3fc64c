package stonespring.zmtp;

import stonespring.netty.ProtocolViolationException;

/**
 * Thrown when a peer violates ZMTP. The message names the element of the protocol and the problem.
 */
public final class ZmtpProtocolException extends ProtocolViolationException {
  private static final long serialVersionUID = 1;

  ZmtpProtocolException(String location, String problem) {
    super(location + ": " + problem);
  }
}

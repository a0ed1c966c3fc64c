package stonespring.zmtp;

import stonespring.netty.ProtocolViolationException;

/** A peer sent what the protocol does not allow. The message names the place. */
public final class ZmtpProtocolException extends ProtocolViolationException {
  private static final long serialVersionUID = 1;

  ZmtpProtocolException(String place, String problem) {
    super(place + ": " + problem);
  }
}

package stonespring.http;

import stonespring.netty.ProtocolViolationException;

/**
 * A peer's bytes are no HTTP/1.1 that is accepted here. The message names place and problem; a
 * server sends it to the peer.
 */
public final class MalformedHttpException extends ProtocolViolationException {
  private static final long serialVersionUID = 1;

  MalformedHttpException(String place, String problem) {
    super(place + ": " + problem);
  }
}

package stonespring.daemon;

import stonespring.proxyapi.ProxyMessageHandler;

/** A proxy's connection that records why it was closed. */
final class RecordingConnection implements ProxyMessageHandler.Origin {
  private String closeReason;

  @Override
  public void end(String reason) {
    closeReason = reason;
  }

  /** Why it was closed, null while it is open. */
  String closeReason() {
    return closeReason;
  }
}

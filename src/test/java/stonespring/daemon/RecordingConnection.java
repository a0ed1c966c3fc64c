package stonespring.daemon;

import stonespring.proxyapi.ProxyConnection;

/** A proxy's connection that records why it was closed. */
final class RecordingConnection implements ProxyConnection {
  private String closeReason;

  @Override
  public void close(String reason) {
    closeReason = reason;
  }

  /** Why it was closed, null while it is open. */
  String closeReason() {
    return closeReason;
  }
}

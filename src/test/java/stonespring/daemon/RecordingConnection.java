package stonespring.daemon;

import stonespring.proxyapi.ProxyConnection;

/** A proxy's connection that records the reason for its close. */
final class RecordingConnection implements ProxyConnection {
  private String closeReason;

  @Override
  public void close(String reason) {
    closeReason = reason;
  }

  /** Returns the reason for the close, or null while the connection is open. */
  String closeReason() {
    return closeReason;
  }
}

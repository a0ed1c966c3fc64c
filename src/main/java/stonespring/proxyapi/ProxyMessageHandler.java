package stonespring.proxyapi;

import java.util.function.Consumer;
import stonespring.state.KeySnapshot;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;

/**
 * Receives the messages of proxies. All methods may be called from any thread. A message is refused
 * by {@code false} if too many wait; the caller then closes the connection, and its proxy connects
 * again.
 */
public interface ProxyMessageHandler {
  /**
   * A proxy announced itself.
   *
   * @param sessionTimeoutDeciMillis how long the announcement holds, {@link
   *     stonespring.model.DeciMillis}
   */
  boolean handleHello(
      String proxy, ProxyHello hello, long sessionTimeoutDeciMillis, ProxyConnection connection);

  /** A proxy reported what it observed. */
  boolean handleReport(String proxy, ProxyReport report, ProxyConnection connection);

  /** A proxy acknowledged an update. */
  boolean handleAcknowledgement(
      String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection connection);

  /** Takes a snapshot of a subtree; the receiver is called on another thread, must not block. */
  boolean requestSnapshot(String subtree, Consumer<KeySnapshot> receiver);

  /** A connection closed; never refused. */
  void handleConnectionClosed(ProxyConnection connection);
}

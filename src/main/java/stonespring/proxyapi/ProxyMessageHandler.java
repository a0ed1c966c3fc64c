package stonespring.proxyapi;

import java.util.function.Consumer;
import stonespring.state.KeySnapshot;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;

/**
 * Handles the messages of proxies. All methods may be called from any thread. A method that returns
 * {@code false} refuses the message, because too many messages are queued; the caller then closes
 * the connection, and the proxy connects again.
 */
public interface ProxyMessageHandler {
  /**
   * Handles the announcement of a proxy.
   *
   * @param sessionTimeoutDeciMillis the time after which the session ends unless the proxy
   *     announces itself again, in {@link stonespring.model.DeciMillis}
   */
  boolean handleHello(
      String proxy, ProxyHello hello, long sessionTimeoutDeciMillis, ProxyConnection connection);

  /** Handles a report of the traffic that a proxy observed. */
  boolean handleReport(String proxy, ProxyReport report, ProxyConnection connection);

  /** Handles the acknowledgement of an update by a proxy. */
  boolean handleAcknowledgement(
      String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection connection);

  /**
   * Requests a snapshot of the published keys of a subtree. The receiver is called on another
   * thread and must not block.
   */
  boolean requestSnapshot(String subtree, Consumer<KeySnapshot> receiver);

  /** Handles the end of a connection; this call is never refused. */
  void handleConnectionClosed(ProxyConnection connection);
}

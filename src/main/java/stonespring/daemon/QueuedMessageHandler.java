package stonespring.daemon;

import java.util.function.Consumer;
import stonespring.proxyapi.ProxyConnection;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.state.KeySnapshot;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;

/**
 * Passes messages of proxies to the thread that runs the {@link EngineHost}. A message is refused
 * if the thread's queue is full, and the proxy has to connect again. The closing of a connection is
 * always passed on. Thread-safe.
 */
final class QueuedMessageHandler implements ProxyMessageHandler {
  private final EngineThread thread;

  QueuedMessageHandler(EngineThread thread) {
    this.thread = thread;
  }

  @Override
  public boolean handleHello(
      String proxy, ProxyHello hello, long sessionTimeoutDeciMillis, ProxyConnection connection) {
    return offer(
        connection,
        (host, now) -> host.handleHello(proxy, hello, sessionTimeoutDeciMillis, connection, now));
  }

  @Override
  public boolean handleReport(String proxy, ProxyReport report, ProxyConnection connection) {
    return offer(connection, (host, now) -> host.handleReport(proxy, report, connection));
  }

  @Override
  public boolean handleAcknowledgement(
      String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection connection) {
    return offer(
        connection,
        (host, now) -> host.handleAcknowledgement(proxy, acknowledgement, connection, now));
  }

  private boolean offer(ProxyConnection connection, EngineThread.Job job) {
    return thread.offer(
        (host, now) -> {
          try {
            job.run(host, now);
          } finally {
            connection.messageHandled();
          }
        });
  }

  @Override
  public boolean requestSnapshot(String subtree, Consumer<KeySnapshot> receiver) {
    return thread.offer(
        (host, now) -> receiver.accept(new KeySnapshot(host.snapshot(subtree), host.sequence())));
  }

  @Override
  public void handleConnectionClosed(ProxyConnection connection) {
    thread.post((host, now) -> host.handleConnectionClosed(connection, now));
  }
}

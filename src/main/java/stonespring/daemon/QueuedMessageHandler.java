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
  public boolean hello(
      String proxy, ProxyHello hello, long sessionTimeout, ProxyConnection connection) {
    return thread.offer(
        (host, now) -> host.handleHello(proxy, hello, sessionTimeout, connection, now));
  }

  @Override
  public boolean reported(String proxy, ProxyReport report, ProxyConnection connection) {
    return thread.offer((host, now) -> host.handleReport(proxy, report, connection));
  }

  @Override
  public boolean acknowledged(
      String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection connection) {
    return thread.offer(
        (host, now) -> host.handleAcknowledgement(proxy, acknowledgement, connection, now));
  }

  @Override
  public boolean snapshot(String subtree, Consumer<KeySnapshot> receiver) {
    return thread.offer(
        (host, now) -> receiver.accept(new KeySnapshot(host.snapshot(subtree), host.sequence())));
  }

  @Override
  public void connectionClosed(ProxyConnection connection) {
    thread.post((host, now) -> host.handleConnectionClosed(connection, now));
  }
}

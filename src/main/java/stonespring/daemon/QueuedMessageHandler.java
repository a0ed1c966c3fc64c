package stonespring.daemon;

import java.util.List;
import java.util.function.BiConsumer;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyHello;
import stonespring.state.ReportAggregator;

/**
 * Hands messages of proxies over to the thread that drives the {@link EngineHost}. A message that
 * the thread's queue has no room for is refused, and the proxy connects again; that a connection
 * was closed is never refused. Thread-safe.
 */
final class QueuedMessageHandler implements ProxyMessageHandler {
  private final EventLoopThread loop;

  QueuedMessageHandler(EventLoopThread loop) {
    this.loop = loop;
  }

  @Override
  public boolean hello(String proxy, ProxyHello hello, long sessionTimeout, Origin connection) {
    return loop.offer(
        (host, now) -> host.handleHello(proxy, hello, sessionTimeout, connection, now));
  }

  @Override
  public boolean reported(
      String proxy,
      long interval,
      List<ReportAggregator.Met> outcomes,
      List<ReportAggregator.Came> requests,
      Origin connection) {
    return loop.offer(
        (host, now) -> host.handleReport(proxy, interval, outcomes, requests, connection));
  }

  @Override
  public boolean answered(String proxy, String stream, int ack, long duration, Origin connection) {
    return loop.offer(
        (host, now) -> host.handleAcknowledgement(proxy, stream, ack, duration, connection, now));
  }

  @Override
  public boolean snapshot(String subtree, BiConsumer<List<KeyUpdate>, Long> then) {
    return loop.offer((host, now) -> then.accept(host.snapshot(subtree), host.sequence()));
  }

  @Override
  public void closed(Origin connection) {
    loop.post((host, now) -> host.handleConnectionClosed(connection, now));
  }
}

package stonespring.proxyapi.platform;

import java.util.LinkedHashSet;
import stonespring.line.LineConnection;
import stonespring.model.AckId;
import stonespring.model.Event;
import stonespring.model.ProxyId;

/** A proxy's session: one connection and what was sent on it. */
final class ProxySession implements PlatformPeer {
  /** Acknowledgements that a proxy may owe; the oldest beyond are forgotten. */
  private static final int MAX_PENDING_ACKS = 64;

  private final Event.ProxyConnected hello;
  private final LineConnection connection;
  private final ProxyRouteState routeState;
  private final LinkedHashSet<AckId> pendingAcks = new LinkedHashSet<>();

  ProxySession(Event.ProxyConnected hello, LineConnection connection, ProxyRouteState routeState) {
    this.hello = hello;
    this.connection = connection;
    this.routeState = routeState;
  }

  ProxyId proxy() {
    return hello.proxy();
  }

  /** The event by which it began. */
  Event.ProxyConnected hello() {
    return hello;
  }

  LineConnection connection() {
    return connection;
  }

  ProxyRouteState routeState() {
    return routeState;
  }

  /** Notes that an acknowledgement is requested. */
  void addPendingAck(AckId ack) {
    if (pendingAcks.size() >= MAX_PENDING_ACKS) {
      pendingAcks.remove(pendingAcks.iterator().next());
    }
    pendingAcks.add(ack);
  }

  /** Takes an acknowledgement; false if it is not pending. */
  boolean removePendingAck(AckId ack) {
    return pendingAcks.remove(ack);
  }

  @Override
  public String toString() {
    return "proxy " + proxy().number();
  }
}

package stonespring.proxyapi.platform;

import java.util.LinkedHashSet;
import stonespring.line.LineConnection;
import stonespring.model.AckId;
import stonespring.model.Event;
import stonespring.model.ProxyId;

/** The session of a proxy: its connection, and the state that was sent on the connection. */
final class ProxySession implements PlatformPeer {
  /**
   * Maximum number of pending acknowledgements, beyond which the oldest is removed. A proxy with
   * more of them is not expected to answer the oldest any more.
   */
  private static final int MAX_PENDING_ACKS = 64;

  private final Event.ProxyConnected connectedEvent;
  private final LineConnection connection;
  private final ProxyRouteState routeState;
  private final LinkedHashSet<AckId> pendingAcks = new LinkedHashSet<>();

  ProxySession(
      Event.ProxyConnected connectedEvent, LineConnection connection, ProxyRouteState routeState) {
    this.connectedEvent = connectedEvent;
    this.connection = connection;
    this.routeState = routeState;
  }

  ProxyId proxy() {
    return connectedEvent.proxy();
  }

  /** Returns the event that started the session. */
  Event.ProxyConnected connectedEvent() {
    return connectedEvent;
  }

  LineConnection connection() {
    return connection;
  }

  ProxyRouteState routeState() {
    return routeState;
  }

  /** Records that an acknowledgement was requested and is pending. */
  void addPendingAck(AckId ack) {
    if (pendingAcks.size() >= MAX_PENDING_ACKS) {
      pendingAcks.remove(pendingAcks.iterator().next());
    }
    pendingAcks.add(ack);
  }

  /** Removes a pending acknowledgement; returns false if it is not pending. */
  boolean removePendingAck(AckId ack) {
    return pendingAcks.remove(ack);
  }

  @Override
  public String toString() {
    return "proxy " + proxy().number();
  }
}

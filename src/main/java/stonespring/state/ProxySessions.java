package stonespring.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import stonespring.model.ProxyId;

/**
 * The sessions of connected proxies. A session starts with a hello for a proxy name. Further hellos
 * renew its lease. It ends when the lease expires, when its connection closes, or when the same
 * process starts a later session.
 *
 * <p>Proxy ids are dense and less than the maximum number of proxies. When all are in use, a new
 * proxy takes over the id of the proxy that has been disconnected longest; if none is disconnected,
 * the new proxy is refused. Instants are in {@link stonespring.model.DeciMillis}. Not thread-safe.
 *
 * @param <C> type of a connection; connections are compared by identity
 */
public final class ProxySessions<C> {
  private static final class Session<C> {
    private final String name;
    private final ProxyId id;
    private ProxyHello hello;
    private C connection;
    private long expiresAtDeciMillis;
    private long sessionNumber;

    Session(String name, ProxyId id) {
      this.name = name;
      this.id = id;
    }

    boolean isConnected() {
      return connection != null;
    }
  }

  /**
   * Maximum number of sessions on one connection. A proxy needs one; the rest allows for programs
   * that act for several proxies.
   */
  private static final int MAX_SESSIONS_PER_CONNECTION = 16;

  private final int maxProxies;
  private final Map<String, Session<C>> byName = new HashMap<>();
  private final Map<Integer, Session<C>> byId = new LinkedHashMap<>();
  private final Map<C, Set<Session<C>>> byConnection = new IdentityHashMap<>();
  private final LinkedHashSet<Session<C>> disconnected = new LinkedHashSet<>();
  private final ArrayDeque<Session<C>> connected = new ArrayDeque<>();
  private long startedSessionCount;

  /**
   * Creates an empty set of sessions.
   *
   * @param maxProxies maximum number of proxies with an id, connected or not
   */
  public ProxySessions(int maxProxies) {
    this.maxProxies = maxProxies;
  }

  /**
   * Starts or renews a session, or refuses a hello received on a connection.
   *
   * @param expiresAtDeciMillis when the session ends if it is not renewed again
   */
  public HelloResult<C> handleHello(
      String name, ProxyHello hello, C connection, long now, long expiresAtDeciMillis) {
    Session<C> session = byName.get(name);
    if (session != null && session.isConnected()) {
      return handleHelloOfConnectedProxy(session, hello, connection, now, expiresAtDeciMillis);
    }
    if (byConnection.getOrDefault(connection, Set.of()).size() >= MAX_SESSIONS_PER_CONNECTION) {
      return new HelloResult.Refused<>(
          "proxy "
              + name
              + " refused: the connection has "
              + MAX_SESSIONS_PER_CONNECTION
              + " sessions, which is the limit");
    }
    if (session == null) {
      Optional<ProxyId> id = allocateId();
      if (id.isEmpty()) {
        return new HelloResult.Refused<>(
            "proxy "
                + name
                + " refused: "
                + maxProxies
                + " proxies are connected, which is the limit");
      }
      session = new Session<>(name, id.get());
      byName.put(name, session);
      byId.put(session.id.number(), session);
    }
    startSession(session, hello, connection, expiresAtDeciMillis);
    return new HelloResult.Connected<>(session.id, Optional.empty());
  }

  private HelloResult<C> handleHelloOfConnectedProxy(
      Session<C> session, ProxyHello hello, C connection, long now, long expiresAtDeciMillis) {
    if (session.connection == connection && hello.isSameSessionAs(session.hello)) {
      session.expiresAtDeciMillis = expiresAtDeciMillis;
      session.hello = hello;
      return new HelloResult.Renewed<>(session.id);
    }
    // Another process with the same name is refused until the lease expires. A later session of the
    // same process replaces the earlier one at once: the process knows that its earlier connection
    // is dead, even if that connection is still half open at this end.
    if (session.expiresAtDeciMillis > now && !hello.isLaterSessionThan(session.hello)) {
      return new HelloResult.Refused<>(
          "proxy " + session.name + " refused: another session with this name is active");
    }
    C replaced = session.connection;
    endSession(session);
    startSession(session, hello, connection, expiresAtDeciMillis);
    return new HelloResult.Connected<>(session.id, Optional.of(replaced));
  }

  private Optional<ProxyId> allocateId() {
    if (byId.size() < maxProxies) {
      return Optional.of(new ProxyId(byId.size()));
    }
    if (disconnected.isEmpty()) {
      return Optional.empty();
    }
    Session<C> longestDisconnected = disconnected.iterator().next();
    disconnected.remove(longestDisconnected);
    byName.remove(longestDisconnected.name);
    return Optional.of(longestDisconnected.id);
  }

  private void startSession(
      Session<C> session, ProxyHello hello, C connection, long expiresAtDeciMillis) {
    disconnected.remove(session);
    session.hello = hello;
    session.connection = connection;
    session.expiresAtDeciMillis = expiresAtDeciMillis;
    session.sessionNumber = ++startedSessionCount;
    byConnection.computeIfAbsent(connection, key -> new LinkedHashSet<>()).add(session);
    connected.add(session);
  }

  private void endSession(Session<C> session) {
    Set<Session<C>> sessions = byConnection.get(session.connection);
    sessions.remove(session);
    if (sessions.isEmpty()) {
      byConnection.remove(session.connection);
    }
    session.connection = null;
    connected.remove(session);
    disconnected.add(session);
  }

  /** Ends all sessions on a connection that closed, and returns their proxies. */
  public List<ProxyId> endSessions(C connection) {
    List<ProxyId> ended = new ArrayList<>();
    for (Session<C> session : List.copyOf(byConnection.getOrDefault(connection, Set.of()))) {
      endSession(session);
      ended.add(session.id);
    }
    return ended;
  }

  /** Ends the sessions whose lease has expired, and returns their proxies. */
  public List<ProxyId> endExpiredSessions(long now) {
    List<ProxyId> ended = new ArrayList<>();
    for (Session<C> session : List.copyOf(connected)) {
      if (session.expiresAtDeciMillis <= now) {
        endSession(session);
        ended.add(session.id);
      }
    }
    return ended;
  }

  /** Returns the proxy with the name, if its session is on this connection. */
  public Optional<ProxyId> find(String name, C connection) {
    Session<C> session = byName.get(name);
    return session != null && session.connection == connection
        ? Optional.of(session.id)
        : Optional.empty();
  }

  boolean isConnected(ProxyId proxy) {
    Session<C> session = byId.get(proxy.number());
    return session != null && session.isConnected();
  }

  /** Returns the name of a proxy that has connected at least once. */
  public String name(ProxyId proxy) {
    return byId.get(proxy.number()).name;
  }

  /** Returns the latest hello of a proxy that has connected at least once. */
  public ProxyHello hello(ProxyId proxy) {
    return byId.get(proxy.number()).hello;
  }

  /**
   * Returns the number of the latest session of a proxy that has connected at least once. Numbers
   * are unique across all proxies and rise in the order in which sessions start.
   */
  public long sessionNumber(ProxyId proxy) {
    return byId.get(proxy.number()).sessionNumber;
  }

  /** Returns the number of connected proxies. */
  public int connectedCount() {
    return connected.size();
  }
}

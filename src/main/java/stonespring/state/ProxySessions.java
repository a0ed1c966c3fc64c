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
 * Which proxies are connected. A session begins with a hello that claims a name, is kept by
 * renewing it, and ends with its lease, its connection, or a later session of the same process.
 * Proxies' ids are dense and bounded: when all are used, that of the proxy longest disconnected is
 * reused; if there is none, the newcomer is refused. Instants are passed in as {@link
 * stonespring.model.DeciMillis}. Not safe for several threads.
 *
 * @param <C> stands for a connection; connections are told apart by identity
 */
public final class ProxySessions<C> {
  private static final class Session<C> {
    private final String name;
    private final ProxyId id;
    private ProxyHello hello;
    private C connection;
    private long expiresAt;
    private long number;

    Session(String name, ProxyId id) {
      this.name = name;
      this.id = id;
    }

    boolean isConnected() {
      return connection != null;
    }
  }

  private final int maxProxies;
  private final Map<String, Session<C>> byName = new HashMap<>();
  private final Map<Integer, Session<C>> byId = new LinkedHashMap<>();
  private final Map<C, Set<Session<C>>> byConnection = new IdentityHashMap<>();
  private final LinkedHashSet<Session<C>> disconnected = new LinkedHashSet<>();
  private final ArrayDeque<Session<C>> connected = new ArrayDeque<>();
  private long sessionsBegun;

  /** Creates an empty set of sessions for at most so many proxies. */
  public ProxySessions(int maxProxies) {
    this.maxProxies = maxProxies;
  }

  /**
   * Takes a hello that was received on a connection.
   *
   * @param expiresAt when the session ends if it is not renewed
   */
  public HelloResult<C> handleHello(
      String name, ProxyHello hello, C connection, long now, long expiresAt) {
    Session<C> session = byName.get(name);
    if (session != null && session.isConnected()) {
      return helloAgain(session, hello, connection, now, expiresAt);
    }
    if (session == null) {
      Optional<ProxyId> id = allocateId();
      if (id.isEmpty()) {
        return new HelloResult.Refused<>(
            "proxy " + name + ": " + maxProxies + " proxies are here, the limit");
      }
      session = new Session<>(name, id.get());
      byName.put(name, session);
      byId.put(session.id.number(), session);
    }
    begin(session, hello, connection, expiresAt);
    return new HelloResult.Connected<>(session.id, Optional.empty());
  }

  private HelloResult<C> helloAgain(
      Session<C> session, ProxyHello hello, C connection, long now, long expiresAt) {
    if (session.connection == connection && hello.renews(session.hello)) {
      session.expiresAt = expiresAt;
      session.hello = hello;
      return new HelloResult.Renewed<>(session.id);
    }
    // Another process of the same name waits for the lease to end; the same process in a later
    // session knows that its earlier one is dead, even if that is half open here.
    if (session.expiresAt > now && !hello.replaces(session.hello)) {
      return new HelloResult.Refused<>("proxy " + session.name + " is here already");
    }
    C replaced = session.connection;
    end(session);
    begin(session, hello, connection, expiresAt);
    return new HelloResult.Connected<>(session.id, Optional.of(replaced));
  }

  private Optional<ProxyId> allocateId() {
    if (byId.size() < maxProxies) {
      return Optional.of(new ProxyId(byId.size()));
    }
    if (disconnected.isEmpty()) {
      return Optional.empty();
    }
    Session<C> oldest = disconnected.iterator().next();
    disconnected.remove(oldest);
    byName.remove(oldest.name);
    return Optional.of(oldest.id);
  }

  private void begin(Session<C> session, ProxyHello hello, C connection, long expiresAt) {
    disconnected.remove(session);
    session.hello = hello;
    session.connection = connection;
    session.expiresAt = expiresAt;
    session.number = ++sessionsBegun;
    byConnection.computeIfAbsent(connection, key -> new LinkedHashSet<>()).add(session);
    connected.add(session);
  }

  private void end(Session<C> session) {
    Set<Session<C>> sessions = byConnection.get(session.connection);
    sessions.remove(session);
    if (sessions.isEmpty()) {
      byConnection.remove(session.connection);
    }
    session.connection = null;
    connected.remove(session);
    disconnected.add(session);
  }

  /** A connection closed: ends all sessions on it, and returns their proxies. */
  public List<ProxyId> endSessions(C connection) {
    List<ProxyId> ended = new ArrayList<>();
    for (Session<C> session : List.copyOf(byConnection.getOrDefault(connection, Set.of()))) {
      end(session);
      ended.add(session.id);
    }
    return ended;
  }

  /** Ends the sessions that were not renewed in time, and returns their proxies. */
  public List<ProxyId> endExpiredSessions(long now) {
    List<ProxyId> ended = new ArrayList<>();
    for (Session<C> session : List.copyOf(connected)) {
      if (session.expiresAt <= now) {
        end(session);
        ended.add(session.id);
      }
    }
    return ended;
  }

  /** The proxy of that name, if its session is on this connection. */
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

  /** The name of a proxy that connected at least once. */
  public String name(ProxyId proxy) {
    return byId.get(proxy.number()).name;
  }

  /** The latest hello of a proxy that connected at least once. */
  public ProxyHello hello(ProxyId proxy) {
    return byId.get(proxy.number()).hello;
  }

  /** Counts the sessions of all proxies: tells a proxy's session from every other. */
  public long sessionNumber(ProxyId proxy) {
    return byId.get(proxy.number()).number;
  }

  /** How many proxies are connected. */
  public int connectedCount() {
    return connected.size();
  }
}

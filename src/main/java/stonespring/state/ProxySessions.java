package stonespring.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stonespring.model.ProxyId;

/**
 * Which proxies are here: a name is claimed by a word of presence, kept by renewing it, and ends
 * with its time, its connection, or a later stream of the same proxy. Numbers are dense and
 * bounded: when all are used, that of the proxy longest gone is given anew, and where none is gone
 * the newcomer is refused. Time is passed in, tenths of a millisecond. Connections are told apart
 * by identity alone. Not safe for several threads.
 */
public final class ProxySessions {
  /** What a word of presence led to. */
  public sealed interface Verdict {
    /** {@code before} is set where an earlier stream of the same proxy ended by this. */
    record Joined(ProxyId proxy, boolean before, Object oldConnection) implements Verdict {}

    record Renewed(ProxyId proxy) implements Verdict {}

    record Refused(String cause) implements Verdict {}
  }

  private static final class Claim {
    private final String name;
    private final ProxyId id;
    private ProxyHello hello;
    private Object connection;
    private long until;
    private long stream;

    Claim(String name, ProxyId id) {
      this.name = name;
      this.id = id;
    }

    boolean here() {
      return connection != null;
    }
  }

  private final int most;
  private final Map<String, Claim> byName = new HashMap<>();
  private final Map<Integer, Claim> byNumber = new LinkedHashMap<>();
  private final Map<Object, Set<Claim>> byConnection = new java.util.IdentityHashMap<>();
  private final LinkedHashSet<Claim> gone = new LinkedHashSet<>();
  private final ArrayDeque<Claim> renewals = new ArrayDeque<>();
  private int here;
  private long streams;

  public ProxySessions(int most) {
    this.most = most;
  }

  /** Takes a word of presence that holds until {@code until}. */
  public Verdict hello(String name, ProxyHello hello, Object connection, long now, long until) {
    Claim claim = byName.get(name);
    if (claim != null && claim.here()) {
      ProxyHello held = claim.hello;
      if (claim.connection == connection
          && held.life().equals(hello.life())
          && held.stream() == hello.stream()) {
        claim.until = until;
        claim.hello = hello;
        return new Verdict.Renewed(claim.id);
      }
      // Another process with the same name waits until the first one's time is over; the same
      // process on a
      // newer stream knows that its old one is dead, though a half-open link still hides that from
      // us.
      if (claim.until > now
          && !(held.life().equals(hello.life()) && hello.stream() > held.stream())) {
        return new Verdict.Refused("proxy " + name + " is here already");
      }
      Object old = claim.connection;
      leave(claim);
      join(claim, hello, connection, until);
      return new Verdict.Joined(claim.id, true, old);
    }
    if (claim == null) {
      ProxyId id = number();
      if (id == null) {
        return new Verdict.Refused("proxy " + name + ": " + most + " proxies are here, the limit");
      }
      claim = new Claim(name, id);
      byName.put(name, claim);
      byNumber.put(id.number(), claim);
    }
    join(claim, hello, connection, until);
    return new Verdict.Joined(claim.id, false, null);
  }

  private ProxyId number() {
    if (byNumber.size() < most) {
      return new ProxyId(byNumber.size());
    }
    if (gone.isEmpty()) {
      return null;
    }
    Claim oldest = gone.iterator().next();
    gone.remove(oldest);
    byName.remove(oldest.name);
    return oldest.id;
  }

  private void join(Claim claim, ProxyHello hello, Object connection, long until) {
    gone.remove(claim);
    claim.hello = hello;
    claim.connection = connection;
    claim.until = until;
    claim.stream = ++streams;
    here++;
    byConnection.computeIfAbsent(connection, c -> new LinkedHashSet<>()).add(claim);
    renewals.add(claim);
  }

  private void leave(Claim claim) {
    Set<Claim> claims = byConnection.get(claim.connection);
    claims.remove(claim);
    if (claims.isEmpty()) {
      byConnection.remove(claim.connection);
    }
    claim.connection = null;
    here--;
    renewals.remove(claim);
    gone.add(claim);
  }

  /** A connection ended, and with it all that spoke on it. */
  public List<ProxyId> closed(Object connection) {
    List<ProxyId> left = new ArrayList<>();
    for (Claim claim : List.copyOf(byConnection.getOrDefault(connection, Set.of()))) {
      leave(claim);
      left.add(claim.id);
    }
    return left;
  }

  /** Ends what was not renewed in time. */
  public List<ProxyId> expire(long now) {
    List<ProxyId> left = new ArrayList<>();
    for (Claim claim : List.copyOf(renewals)) {
      if (claim.until <= now) {
        leave(claim);
        left.add(claim.id);
      }
    }
    return left;
  }

  /** The number of a proxy that is here and speaks on this connection, else null. */
  public ProxyId speaking(String name, Object connection) {
    Claim claim = byName.get(name);
    return claim != null && claim.connection == connection ? claim.id : null;
  }

  boolean isHere(ProxyId proxy) {
    Claim claim = byNumber.get(proxy.number());
    return claim != null && claim.here();
  }

  public String name(ProxyId proxy) {
    return byNumber.get(proxy.number()).name;
  }

  public ProxyHello hello(ProxyId proxy) {
    return byNumber.get(proxy.number()).hello;
  }

  /**
   * The count of joins at which this proxy's stream began: tells its orders from those of any other
   * stream.
   */
  public long stream(ProxyId proxy) {
    return byNumber.get(proxy.number()).stream;
  }

  public int here() {
    return here;
  }
}

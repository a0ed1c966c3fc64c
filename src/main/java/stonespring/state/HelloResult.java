package stonespring.state;

import java.util.Optional;
import stonespring.model.ProxyId;

/**
 * What a {@link ProxyHello} led to.
 *
 * @param <C> stands for a connection
 */
public sealed interface HelloResult<C> {
  /**
   * A session began.
   *
   * @param replaced the connection of the same proxy's earlier session, if this ended one
   */
  record Connected<C>(ProxyId proxy, Optional<C> replaced) implements HelloResult<C> {}

  /** The session goes on. */
  record Renewed<C>(ProxyId proxy) implements HelloResult<C> {}

  /** There is no session. */
  record Refused<C>(String reason) implements HelloResult<C> {}
}

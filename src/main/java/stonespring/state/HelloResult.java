package stonespring.state;

import java.util.Optional;
import stonespring.model.ProxyId;

/**
 * The outcome of a {@link ProxyHello}.
 *
 * @param <C> type of a connection
 */
public sealed interface HelloResult<C> {
  /**
   * A session started.
   *
   * @param replaced the connection of the earlier session of the same name, if this hello ended one
   */
  record Connected<C>(ProxyId proxy, Optional<C> replaced) implements HelloResult<C> {}

  /** The existing session was renewed. */
  record Renewed<C>(ProxyId proxy) implements HelloResult<C> {}

  /** The hello was refused: no session started. */
  record Refused<C>(String reason) implements HelloResult<C> {}
}

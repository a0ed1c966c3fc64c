package stonespring.proxyapi;

/** A connection on which proxies send messages. Connections are compared by identity. */
public interface ProxyConnection {
  /** Closes the connection and writes one log line that gives the reason. */
  void close(String reason);

  /**
   * Called once a message that was queued for handling has been handled. May be called from any
   * thread.
   */
  default void messageHandled() {}
}

package stonespring.proxyapi;

/** A connection on which proxies send messages. Connections are compared by identity. */
public interface ProxyConnection {
  /** Closes the connection and writes one log line that gives the reason. */
  void close(String reason);
}

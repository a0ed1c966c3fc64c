package stonespring.proxyapi;

/** A connection that proxies send messages on; told apart by identity. */
public interface ProxyConnection {
  /** Closes it, with one line in the log that gives the reason. */
  void close(String reason);
}

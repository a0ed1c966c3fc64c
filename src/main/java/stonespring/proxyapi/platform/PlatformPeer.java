package stonespring.proxyapi.platform;

/** Who is at the other end of a connection. Its text names the peer in log lines. */
sealed interface PlatformPeer permits ProxySession, Collector {}

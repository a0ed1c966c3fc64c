package stonespring.proxyapi.platform;

/** The peer of a connection whose handshake is complete. Its string form names it in log lines. */
sealed interface PlatformPeer permits ProxySession, Collector {}

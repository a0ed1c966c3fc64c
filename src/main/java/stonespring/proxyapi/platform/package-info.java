/**
 * The API for proxies on the operators' platform, over the line protocol. Each proxy has one
 * connection, and the collector of each zone has a few. Only {@link
 * stonespring.proxyapi.platform.PlatformMessageCodec} contains the keywords of the protocol; {@link
 * stonespring.proxyapi.platform.ProxyRouteState} converts an update to messages of the protocol.
 * All state is confined to one event loop.
 */
package stonespring.proxyapi.platform;

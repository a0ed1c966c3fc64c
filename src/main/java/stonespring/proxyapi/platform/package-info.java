/**
 * The operators' platform towards proxies: lines of text on one connection for each proxy, and on
 * connections of each zone's collector. {@link stonespring.proxyapi.platform.PlatformMessageCodec}
 * alone knows the protocol's words; {@link stonespring.proxyapi.platform.ProxyRouteState} turns an
 * update into the protocol's messages. Everything lives on one event loop.
 */
package stonespring.proxyapi.platform;

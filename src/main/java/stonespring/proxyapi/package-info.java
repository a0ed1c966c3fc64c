/**
 * The proxy-facing API: what both protocols share. {@link stonespring.proxyapi.ProxyMessageHandler}
 * is what a protocol hands the messages of proxies to; {@link
 * stonespring.proxyapi.ProxyMessageCodec} reads the messages that are JSON objects. Each protocol
 * has a package of its own below.
 */
package stonespring.proxyapi;

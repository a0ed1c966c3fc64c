/**
 * A plain proxy: receives requests over HTTP, forwards them to endpoints according to its route
 * tables ({@link stonespring.proxy.routing}), and maintains a CHP connection to an instance. Each
 * proxy is confined to one event loop.
 */
package stonespring.proxy;

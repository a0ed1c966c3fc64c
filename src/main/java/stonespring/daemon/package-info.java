/**
 * Running instances: {@link stonespring.daemon.ChpDaemon} serves proxies by CHP, {@link
 * stonespring.daemon.PlatformDaemon} runs on the operators' platform. Both drive a decision engine
 * through {@link stonespring.daemon.EngineRunner}.
 *
 * <p>An instance's state is confined to one thread: the thread of {@link
 * stonespring.daemon.EngineThread} for {@code ChpDaemon}, whose sockets have an event loop of their
 * own, and the Netty event loop for {@code PlatformDaemon}. Classes without a word on threads are
 * used on that thread only.
 */
package stonespring.daemon;

/**
 * Running instances: {@link stonespring.daemon.ChpDaemon} serves proxies over CHP, {@link
 * stonespring.daemon.PlatformDaemon} runs on the operators' platform. Both run a decision engine
 * through {@link stonespring.daemon.EngineRunner}.
 *
 * <p>An instance's state is confined to one thread. For {@code ChpDaemon} that is the thread of
 * {@link stonespring.daemon.EngineThread}, and its sockets have an event loop of their own. For
 * {@code PlatformDaemon} it is the Netty event loop. Classes whose documentation does not mention
 * threads are used on that thread only.
 */
package stonespring.daemon;

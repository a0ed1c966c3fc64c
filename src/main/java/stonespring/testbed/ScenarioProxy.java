package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import stonespring.proxy.Proxy;
import stonespring.proxy.ProxySettings;

/**
 * A real proxy of a scenario, with the links to the instances that faults act on, and its clients.
 * Only the thread of the {@link ScenarioRun} may use it.
 */
final class ScenarioProxy {
  private static final String LOOPBACK = "127.0.0.1";

  private final String name;
  private final int zone;
  private final int port;
  private final double requestsPerSecond;
  private final List<FaultyLink> links = new ArrayList<>();
  private final List<ProxySettings.Ports> instancePorts = new ArrayList<>();
  private Proxy proxy;
  private ClientStandIn client;

  /**
   * Creates a proxy without starting it.
   *
   * @param zone index of its zone
   * @param requestsPerSecond request rate of its clients in the absence of faults
   */
  ScenarioProxy(String name, int zone, int port, double requestsPerSecond) {
    this.name = name;
    this.zone = zone;
    this.port = port;
    this.requestsPerSecond = requestsPerSecond;
  }

  String name() {
    return name;
  }

  int zone() {
    return zone;
  }

  int port() {
    return port;
  }

  double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Returns one link for each instance, in the order of the instances. */
  List<FaultyLink> links() {
    return links;
  }

  /** Returns the ports of the links, which the proxy connects to instead of the instances. */
  List<ProxySettings.Ports> instancePorts() {
    return instancePorts;
  }

  ClientStandIn client() {
    return client;
  }

  /** Returns the running or last stopped proxy; null before the first start. */
  Proxy proxy() {
    return proxy;
  }

  /** Relays the three ports of an instance through a link. */
  void linkTo(InstanceProcess instance, FaultyLink link) throws InterruptedException {
    links.add(link);
    instancePorts.add(
        new ProxySettings.Ports(
            LOOPBACK,
            link.addListener(instance.port()),
            link.addListener(instance.port() + 1),
            link.addListener(instance.port() + 2)));
  }

  void start(ProxySettings settings, EventLoop loop, EventLoopGroup loops)
      throws IOException, InterruptedException {
    proxy = new Proxy(settings, loop).start(loops, port);
  }

  void attachClient(ClientStandIn newClient) {
    client = newClient;
  }

  /** Stops the clients, the proxy and the links, as far as they were started. */
  void close() throws InterruptedException {
    if (client != null) {
      client.stop();
    }
    if (proxy != null) {
      proxy.stop();
    }
    links.forEach(FaultyLink::close);
  }
}

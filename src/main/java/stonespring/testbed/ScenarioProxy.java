package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import stonespring.proxy.Proxy;
import stonespring.proxy.ProxySettings;

/**
 * A real proxy of a scenario with its faulty links to the instances and its clients. Used from the
 * run's thread alone.
 */
final class ScenarioProxy {
  private static final String LOOPBACK = "127.0.0.1";

  private final String name;
  private final int zone;
  private final int port;
  private final double requestsPerSecond;
  private final List<FaultyLink> links = new ArrayList<>();
  private final List<ProxySettings.Ports> instances = new ArrayList<>();
  private Proxy proxy;
  private ClientStandIn client;

  /**
   * Creates a proxy that isn't started.
   *
   * @param zone its zone's position
   * @param requestsPerSecond what its clients usually send
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

  /** One link for each instance, in the instances' order. */
  List<FaultyLink> links() {
    return links;
  }

  /** Where the proxy reaches the instances: its own ends of the links. */
  List<ProxySettings.Ports> instances() {
    return instances;
  }

  ClientStandIn client() {
    return client;
  }

  /** The process under test; null before the first start. */
  Proxy proxy() {
    return proxy;
  }

  /** Lets the proxy reach an instance's three ports through a link. */
  void linkTo(InstanceProcess instance, FaultyLink link) throws InterruptedException {
    links.add(link);
    instances.add(
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

  void attach(ClientStandIn newClient) {
    client = newClient;
  }

  /** Ends clients, proxy and links, as far as they were started. */
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

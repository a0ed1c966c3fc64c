package stonespring.testbed.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import stonespring.testbed.FreePorts;

/**
 * Plays a {@link SoakPlan} with an instance in a process of its own, and checks it. Proxies and
 * collectors keep using their connections until the process has ended. Confined to one thread.
 */
public final class SoakRun {
  /** Time from the first SIGTERM to the SIGKILL. */
  private static final long KILL_DELAY_MILLIS = 700;

  /** No SIGHUP is sent to a process younger than this, counted from its first answer. */
  private static final long FIRST_RELOAD_MILLIS = 1_000;

  private static final long SETTLE_MILLIS = 1_000;
  private static final int DISTURBANCE_SPACING_MILLIS = 700;
  private static final int MAX_SIGNAL_SPACING_MILLIS = 8;
  private static final long OLD_DISCOVERY_MILLIS = 1_500;
  private static final long DISCOVERY_FAILURE_MILLIS = 800;
  private static final long MOVE_LEAD_MILLIS = 20;
  private static final long CHECK_INTERVAL_MILLIS = 50;
  private static final int BAD_CONNECTIONS = 10;
  private static final int CROWD_CONNECTIONS = 300;
  private static final int MIN_READY_ENDPOINTS = 3;
  private static final long END_TIMEOUT_MILLIS = 5_000;

  /** A log line that no run may have. */
  private static final Pattern FAULT_IN_LOG =
      Pattern.compile("(?m)^.*(\\bERROR\\b|Exception\\b|Error:|is restarted|^\\tat ).*$");

  private final SoakPlan plan;
  private final Random random;
  private final SoakLog log = new SoakLog();
  private final NotifiedStates notifiedStates = new NotifiedStates();
  private final EndpointRoster roster;
  private final InstanceControl instance;
  private final SoakConfig config;
  private final RouteChecker routeChecker;
  private final UnjoinedConnections unjoined;
  private final List<ProxyStandIn> proxies = new ArrayList<>();
  private final List<CollectorStandIn> collectors = new ArrayList<>();
  private final List<Long> readyMillis = new ArrayList<>();
  private final ScheduledExecutorService background = Executors.newScheduledThreadPool(2);
  private DiscoveryStandIn discovery;
  private volatile boolean ending = true;
  private volatile boolean killed;

  /**
   * Prepares a run.
   *
   * @param seed the seed of the plan
   * @param lifetimes the number of processes that the run starts one after the other
   * @param command the shell command that starts an instance
   * @param folder the folder for the configuration and the logs; it exists and is empty
   */
  public SoakRun(long seed, int lifetimes, String command, Path folder) throws IOException {
    this.plan = SoakPlan.draw(seed, lifetimes);
    this.random = new Random(~seed);
    this.roster = new EndpointRoster(SoakConfig.ZONES, plan.endpoints());
    int port = FreePorts.take(1);
    Path configFile = folder.resolve("config.json");
    this.config = new SoakConfig(configFile, port, plan.proxies());
    this.instance = new InstanceControl(command, folder, configFile, port, SoakConfig.DESCRIPTORS);
    this.unjoined = new UnjoinedConnections(port, log);
    for (int id = 0; id < plan.proxies(); id++) {
      String zone = SoakConfig.ZONES.get(id % SoakConfig.ZONES.size());
      proxies.add(
          new ProxyStandIn(
              id, zone, port, SoakConfig.REQUEST_CLASSES, seed, new ConnectionObserver()));
    }
    SoakConfig.ZONES.forEach(zone -> collectors.add(new CollectorStandIn(zone, port, roster)));
    this.routeChecker =
        new RouteChecker(
            proxies,
            SoakConfig.REQUEST_CLASSES,
            notifiedStates,
            log,
            SoakConfig.DRAIN_GRACE_MILLIS,
            SoakConfig.EMPTY_LIMIT_MILLIS);
  }

  /**
   * Reads the shell command that starts an instance from a deployment file.
   *
   * @throws IOException if the file can't be read or has no such command
   */
  public static String readRunLine(Path deploymentFile) throws IOException {
    return InstanceControl.readRunLine(deploymentFile);
  }

  /** Plays the run and returns its result. */
  public SoakResult run() throws IOException, InterruptedException {
    discovery = new DiscoveryStandIn(roster, notifiedStates);
    proxies.forEach(ProxyStandIn::start);
    collectors.forEach(CollectorStandIn::start);
    background.scheduleWithFixedDelay(
        routeChecker::check, 0, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    try {
      for (SoakPlan.Lifetime lifetime : plan.lifetimes()) {
        play(lifetime);
      }
    } finally {
      instance.kill();
      proxies.forEach(ProxyStandIn::stop);
      collectors.forEach(CollectorStandIn::stop);
      background.shutdownNow();
      unjoined.closeAll();
      discovery.close();
    }
    return new SoakResult(plan.seed(), List.copyOf(readyMillis), log.violations(), log.events());
  }

  private void play(SoakPlan.Lifetime lifetime) throws IOException, InterruptedException {
    if (!startInstance()) {
      return;
    }
    Thread.sleep(FIRST_RELOAD_MILLIS + SETTLE_MILLIS);
    for (SoakPlan.Disturbance disturbance : lifetime.disturbances()) {
      log.addEvent("disturbance " + disturbance);
      disturb(disturbance);
      Thread.sleep(DISTURBANCE_SPACING_MILLIS + random.nextInt(DISTURBANCE_SPACING_MILLIS));
      unjoined.checkOverdue();
    }
    Thread.sleep(SETTLE_MILLIS);
    end(lifetime.ending());
    checkLog();
  }

  private boolean startInstance() throws IOException, InterruptedException {
    notifiedStates.clear();
    long version = roster.version();
    List<EndpointRoster.Entry> known = roster.listed();
    config.write(discovery.port(), version, known, Long.toHexString(random.nextLong() >>> 1));
    OptionalLong millis = instance.start();
    if (millis.isEmpty()) {
      log.addViolation(
          "a process ended or did not answer within "
              + InstanceControl.MAX_READY_MILLIS
              + " ms of its start; its log is "
              + instance.logFile());
      return false;
    }
    log.addEvent("ready after " + millis.getAsLong() + " ms");
    readyMillis.add(millis.getAsLong());
    notifiedStates.record(known);
    killed = false;
    ending = false;
    routeChecker.begin();
    return true;
  }

  private ProxyStandIn randomProxy() {
    return proxies.get(random.nextInt(proxies.size()));
  }

  private void disturb(SoakPlan.Disturbance disturbance) throws IOException, InterruptedException {
    switch (disturbance) {
      case CHANGE_LIST -> changeList();
      case RELOAD_SERIES -> sendReloadSeries();
      case MOVE_DISCOVERY -> moveDiscovery();
      case RESET_DISCOVERY -> discovery.resetConnections();
      case FAIL_DISCOVERY -> failDiscovery();
      case BAD_CONNECTIONS -> unjoined.open(BAD_CONNECTIONS, random);
      case CROWD -> unjoined.open(CROWD_CONNECTIONS, random);
      case SPOIL_PROXIES -> randomProxy().sendGarbage();
      case REPLACE_CONNECTIONS -> randomProxy().replaceConnection();
      case STOP_READING -> stopReading(randomProxy());
      case RECONNECT_ALL -> proxies.forEach(ProxyStandIn::closeConnection);
      default -> throw new IllegalArgumentException("unknown disturbance " + disturbance);
    }
  }

  private void changeList() {
    roster.removeDraining(random);
    roster.drainOne(random, MIN_READY_ENDPOINTS);
    roster.removeReady(random, MIN_READY_ENDPOINTS);
    roster.addEndpoint();
    roster.addEndpoint();
  }

  private void sendReload() throws IOException, InterruptedException {
    routeChecker.reloadSent();
    instance.signal("HUP");
  }

  private void pauseBetweenSignals() throws InterruptedException {
    Thread.sleep(random.nextInt(MAX_SIGNAL_SPACING_MILLIS + 1));
  }

  private void writeConfig() throws IOException {
    config.write(
        discovery.port(), roster.version(), roster.listed(), Long.toHexString(plan.seed()));
  }

  private void sendReloadSeries() throws IOException, InterruptedException {
    int count = 2 + random.nextInt(3);
    for (int i = 0; i < count; i++) {
      config.writeInvalid();
      sendReload();
      pauseBetweenSignals();
    }
    writeConfig();
    sendReload();
  }

  /** Replaces the discovery server: the old one accepts nothing more, and soon closes. */
  private void moveDiscovery() throws IOException, InterruptedException {
    DiscoveryStandIn old = discovery;
    discovery = new DiscoveryStandIn(roster, notifiedStates);
    writeConfig();
    sendReload();
    old.stopAccepting();
    background.schedule(old::resetConnections, OLD_DISCOVERY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void failDiscovery() {
    DiscoveryStandIn failing = discovery;
    failing.setFailing(true);
    failing.resetConnections();
    background.schedule(
        () -> failing.setFailing(false), DISCOVERY_FAILURE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void stopReading(ProxyStandIn proxy) {
    proxy.setReading(false);
    background.schedule(
        () -> proxy.setReading(true), DISCOVERY_FAILURE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void end(SoakPlan.Ending kind) throws IOException, InterruptedException {
    if (!instance.isAlive()) {
      log.addViolation(
          "the process ended by itself with exit code "
              + instance.exitCode()
              + "; its log is "
              + instance.logFile());
    }
    log.addEvent("ending " + kind);
    ending = true;
    routeChecker.end();
    killed = kind == SoakPlan.Ending.KILL;
    if (killed) {
      instance.kill();
      unjoined.closeAll();
      return;
    }
    long terminatedNanos = sendSignals(kind);
    long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - terminatedNanos);
    if (!instance.awaitEnd(Math.max(0, KILL_DELAY_MILLIS - passedMillis))) {
      killed = true;
      log.addEvent("killed " + KILL_DELAY_MILLIS + " ms after SIGTERM");
      instance.kill();
      instance.awaitEnd(END_TIMEOUT_MILLIS);
    } else {
      log.addEvent("ended by itself with exit code " + instance.exitCode());
    }
    unjoined.closeAll();
  }

  /** Sends the signals of an ending; returns when the first SIGTERM was sent. */
  private long sendSignals(SoakPlan.Ending kind) throws IOException, InterruptedException {
    switch (kind) {
      case RELOAD_THEN_TERMINATE -> {
        writeConfig();
        instance.signal("HUP");
        pauseBetweenSignals();
      }
      case MOVE_THEN_TERMINATE -> {
        moveDiscovery();
        Thread.sleep(random.nextInt((int) MOVE_LEAD_MILLIS));
      }
      case CLOSE_AND_TERMINATE ->
          proxies.subList(0, proxies.size() / 2).forEach(ProxyStandIn::closeConnection);
      default -> {
        // The SIGTERM comes first.
      }
    }
    long terminatedNanos = System.nanoTime();
    instance.signal("TERM");
    if (kind == SoakPlan.Ending.TERMINATE_TWICE) {
      pauseBetweenSignals();
      instance.signal("TERM");
    } else if (kind == SoakPlan.Ending.TERMINATE_THEN_RELOAD) {
      pauseBetweenSignals();
      instance.signal("HUP");
    }
    return terminatedNanos;
  }

  /** Reports what an instance must not do to a joined proxy. */
  private final class ConnectionObserver implements ProxyStandIn.Observer {
    @Override
    public void connectionEnded(
        ProxyStandIn proxy, boolean ownFault, String partialLine, boolean orderly) {
      if (!ending && !ownFault && instance.isAlive()) {
        log.addViolation("the connection of proxy " + proxy.id() + " was ended without its fault");
      }
      if (orderly && !killed && !partialLine.isEmpty()) {
        log.addViolation(
            "the connection of proxy " + proxy.id() + " ended in half a line: " + partialLine);
      }
    }

    @Override
    public void unusableOrder(ProxyStandIn proxy, String line, String reason) {
      log.addViolation("proxy " + proxy.id() + " can't use an order: " + reason + ": " + line);
    }
  }

  private void checkLog() throws IOException {
    Matcher fault = FAULT_IN_LOG.matcher(Files.readString(instance.logFile()));
    if (fault.find()) {
      log.addViolation("the log " + instance.logFile() + " has: " + fault.group().strip());
    }
  }
}

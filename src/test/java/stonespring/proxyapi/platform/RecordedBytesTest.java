package stonespring.proxyapi.platform;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stonespring.chp.ChpMessage;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RetryPolicy;
import stonespring.model.RouteTableId;
import stonespring.model.ZoneId;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.chp.ChpProxyApi;
import stonespring.recorded.RecordedDigests;
import stonespring.simulator.SimulatorHost;
import stonespring.state.HelloResult;
import stonespring.state.KeyStore;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyHello;
import stonespring.state.ProxySessions;
import stonespring.state.ProxyUpdate;
import stonespring.state.PublishedKeyCodec;
import stonespring.state.PublishedState;
import stonespring.state.RouteTables;

/**
 * Compares the output for scripted input with recorded digests, for each of the three protocols:
 * messages to platform proxies, published keys, and replies to the simulator.
 */
final class RecordedBytesTest {
  private static final List<String> REQUEST_CLASSES = List.of("look", "buy", "pay/now");
  private static final int PROXY_COUNT = 4;
  private static final int STEPS = 600;
  private static final String SETTINGS =
      """
            {"balancers":2,"discovery":"on_request","roundS":0.001,"zones":["west","east"],"categories":[
            {"name":"look","repeat":"free","goalTimeS":0.4,"gain":1.0},{"name":"buy","repeat":"single_shot","goalTimeS":0.9,"gain":4.0}],
            "familyInfo":{"levelKind":"LEVELS","backlog":3000,"perMessage":5,"reloadsMax":20,"pushRate":1500.0,"emptyForS":6.0,
            "bootstrap":3,"proxyCount":8,"reportEveryS":0.5,"outlierAfter":3},
            "rules":{"coldS":12.0,"coldShare":0.3,"fallMultiple":2.5},"prices":{"crossZone":0.1},"scoringMix":{"worstClass":0.2}}"""
          .replace("\n", "");

  private static Command randomCommand(SplittableRandom random) {
    RouteTableId table = new RouteTableId(random.nextInt(PROXY_COUNT));
    EndpointId endpoint =
        new EndpointId("s-" + random.nextInt(9) + (random.nextInt(5) == 0 ? "/a" : ""));
    int requestClassMask = random.nextInt(3) == 0 ? random.nextInt(1, 8) : 0;
    return switch (random.nextInt(10)) {
      case 0, 1, 2, 3 ->
          new Command.SetRoute(
              table, endpoint, random.nextInt(4) == 0 ? 0 : random.nextInt(1, 3000) / 1000.0);
      case 4 ->
          random.nextInt(5) == 0
              ? new Command.ClearRouteTable(table)
              : new Command.SetRoute(table, endpoint, 1e-5);
      case 5, 6 ->
          new Command.AssignRouteTable(
              table, new ProxyId(random.nextInt(PROXY_COUNT)), requestClassMask);
      case 7 -> new Command.ExcludeEndpoint(endpoint, random.nextBoolean());
      default ->
          new Command.LimitAdmission(
              random.nextBoolean() ? Command.ALL_TABLES : table,
              requestClassMask,
              RetryPolicy.values()[random.nextInt(4)],
              random.nextInt(9) / 8.0);
    };
  }

  private static List<Command> randomCommands(SplittableRandom random, int step) {
    List<Command> commands = new ArrayList<>();
    for (int i = random.nextInt(6); i >= 0; i--) {
      commands.add(randomCommand(random));
    }
    if (random.nextBoolean()) {
      commands.add(new Command.RequestAck(new AckId(step), random.nextBoolean()));
    }
    return commands;
  }

  @Test
  void writesRecordedMessagesToPlatformProxies() throws IOException {
    RecordedDigests digests = new RecordedDigests();
    PlatformMessageCodec codec =
        new PlatformMessageCodec(new NameTable(List.of(), REQUEST_CLASSES), PROXY_COUNT);
    for (long seed = 1; seed <= 4; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      RouteTables tables = new RouteTables(REQUEST_CLASSES.size());
      Map<Integer, ProxyRouteState> routeStates = new LinkedHashMap<>();
      Map<Integer, Set<EndpointId>> excluded = new LinkedHashMap<>();
      RecordedDigests.Recording recording = new RecordedDigests.Recording();
      for (int step = 0; step < STEPS; step++) {
        int proxy = random.nextInt(PROXY_COUNT);
        if (!routeStates.containsKey(proxy) || random.nextInt(30) == 0) {
          tables.addProxy(new ProxyId(proxy), Optional.empty());
          routeStates.put(
              proxy,
              new ProxyRouteState(
                  REQUEST_CLASSES.size(),
                  tables,
                  new ProxyExclusions(
                      excluded.computeIfAbsent(proxy, p -> new HashSet<>()),
                      random.nextBoolean())));
        }
        for (ProxyUpdate update : tables.apply(randomCommands(random, step), step)) {
          ConfigMessage message = routeStates.get(update.proxy().number()).apply(update);
          recording.add(
              update.proxy().number()
                  + " "
                  + update.entries()
                  + " "
                  + message.entries()
                  + " "
                  + String.join("\r\n", codec.write(message))
                  + "\r\n");
        }
      }
      digests.put("platform/" + seed, recording);
    }
    digests.check("platform-bytes.sha256");
  }

  private static void publish(RecordedDigests.Recording recording, List<KeyUpdate> updates) {
    for (ChpMessage message : ChpProxyApi.publications(updates)) {
      message.frames().forEach(recording::add);
    }
  }

  @Test
  void writesRecordedPublishedKeys() throws IOException {
    RecordedDigests digests = new RecordedDigests();
    for (long seed = 1; seed <= 4; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      RouteTables tables = new RouteTables(REQUEST_CLASSES.size());
      ProxySessions<String> sessions = new ProxySessions<>(PROXY_COUNT);
      PublishedState published =
          new PublishedState(
              new KeyStore(50, 4000), new PublishedKeyCodec(REQUEST_CLASSES), "e" + seed, sessions);
      RecordedDigests.Recording recording = new RecordedDigests.Recording();
      boolean[] connected = new boolean[PROXY_COUNT];
      for (int step = 0; step < STEPS; step++) {
        int number = random.nextInt(PROXY_COUNT);
        if (!connected[number] || random.nextInt(30) == 0) {
          Optional<List<EndpointId>> endpoints =
              random.nextBoolean()
                  ? Optional.empty()
                  : Optional.of(List.of(new EndpointId("s-1"), new EndpointId("s-2")));
          HelloResult<String> result =
              sessions.handleHello(
                  "p" + number,
                  new ProxyHello("life", step, new ZoneId(0), 5, random.nextBoolean(), endpoints),
                  "connection" + step,
                  step,
                  1L << 40);
          ProxyId proxy = ((HelloResult.Connected<String>) result).proxy();
          if (connected[number]) {
            publish(recording, published.publishSessionEnd(proxy));
            tables.removeProxy(proxy);
          }
          connected[number] = true;
          tables.addProxy(proxy, endpoints);
          publish(recording, published.publishSessionStart(proxy));
        }
        for (ProxyUpdate update : tables.apply(randomCommands(random, step), step)) {
          recording.add(update.proxy().number() + " " + update.entries());
          publish(recording, published.publish(update));
        }
        publish(recording, published.publishStatus("{\"step\":" + step + "}"));
      }
      digests.put("published/" + seed, recording);
    }
    digests.check("published-bytes.sha256");
  }

  private static void addStart(List<String> messages, String settings, int step, double now) {
    StringBuilder entries = new StringBuilder();
    for (int i = 0; i < 8; i++) {
      entries
          .append(i == 0 ? "" : ",")
          .append("[\"")
          .append(i % 2 == 0 ? "west" : "east")
          .append("\",1,\"std\",\"up\",")
          .append(i == 7 ? String.valueOf(now) : "null")
          .append(",0,\"task.")
          .append(i)
          .append("\"]");
    }
    messages.add("[\"boot\"," + (step + 11) + "," + settings + "]");
    messages.add("[\"ledger\",0,[" + entries + "]]");
    messages.add("[\"endpoints\",0,\"stale_copy\",4]");
    for (int p = 0; p < 6; p++) {
      messages.add(
          "[\"joined\","
              + p
              + ",\""
              + (p % 2 == 0 ? "west" : "east")
              + "\","
              + (p + 2.5)
              + ","
              + (p % 3 == 0)
              + "]");
    }
  }

  private static void addReports(List<String> messages, SplittableRandom random, int step) {
    messages.add("[\"alarm\"," + (1 + step % 2) + "]");
    for (int i = 0; i < 8; i++) {
      int total = 20 + random.nextInt(60);
      messages.add(
          "[\"observed\","
              + random.nextInt(step > 30 && step < 50 ? total : 3)
              + ","
              + total
              + ",0.5,\""
              + (i % 3 == 0 ? "west" : "east")
              + "\","
              + 0.0125 * random.nextInt(1, 40)
              + ",\"task."
              + i
              + "\",{\"utilization\":"
              + random.nextInt(101) / 100.0
              + ",\"backlog\":3}]");
    }
    for (int p = 0; p < 6; p++) {
      messages.add(
          "[\"traffic\","
              + p
              + ",\""
              + (random.nextBoolean() ? "look" : "buy")
              + "\","
              + random.nextInt(30)
              + ",0,0.5]");
      messages.add("[\"acked\"," + p + "," + (1 + step / 2) + ",0.3]");
    }
  }

  private static String simulatorBatch(SplittableRandom random, int step) {
    double now = 5 + step * 0.5;
    List<String> messages = new ArrayList<>();
    String settings = SETTINGS.replace("LEVELS", random.nextInt(2) == 0 ? "share" : "rate");
    if (step == 1 || step == 60) {
      addStart(messages, settings, step, now);
    } else if (step == 20) {
      messages.add(
          "[\"ledger\",1,[[\"west\",1,\"std\",\"draining\",null,0,\"task.2\"],[\"east\",2,\"std\",\"removed\",null,0,\"task.3\"]]]");
      messages.add("[\"endpoints\",1,\"patch\",5]");
      messages.add("[\"disconnected\",4]");
    } else if (step == 25) {
      messages.add("[\"endpoints\",0,\"broken\",0]");
      messages.add("[\"heard\",1,\"68692037\"]");
      messages.add("[\"echo\",\"task.1\",503,0.02,null]");
    } else if (step > 1) {
      addReports(messages, random, step);
    }
    return "{\"tS\":"
        + now
        + ",\"seq\":"
        + step
        + ",\"parts\":["
        + (messages.isEmpty() ? "" : "{\"i\":3,\"msgs\":[" + String.join(",", messages) + "]}")
        + "]}\n";
  }

  @Test
  void writesRecordedRepliesToSimulator() throws IOException {
    RecordedDigests digests = new RecordedDigests();
    for (long seed = 1; seed <= 4; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      StringBuilder input = new StringBuilder();
      for (int step = 0; step < 160; step++) {
        input.append(simulatorBatch(random, step));
      }
      ByteArrayOutputStream output = new ByteArrayOutputStream();
      new SimulatorHost()
          .run(new ByteArrayInputStream(input.toString().getBytes(StandardCharsets.UTF_8)), output);
      RecordedDigests.Recording recording = new RecordedDigests.Recording();
      // The number and place of trace messages are recorded; their text is not.
      recording.add(
          output
              .toString(StandardCharsets.UTF_8)
              .replaceAll("\\[\"trace\",\"[^\"]*\"]", "[\"trace\"]"));
      digests.put("simulator/" + seed, recording);
    }
    digests.check("simulator-bytes.sha256");
  }
}

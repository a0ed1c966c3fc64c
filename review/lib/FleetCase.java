package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One deployment with several assigners, started by the line `run` of the deploy file, and stand-ins
 * for all that they talk with. A case sets the figures, starts the parts and plays its days; the rules are
 * checked here, with the 300 ms and the start of 1 s that PROTOCOL.md adds on sockets.
 */
abstract class FleetCase {
  private static final double SOCKETS_S = 0.3;
  private static final double AFTER_START_S = 1.0;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root;
  final Path temp;
  final Record record;
  final TaskList list = new TaskList();
  final Tasks tasks;
  final List<FleetProxy> proxies = new ArrayList<>();
  final Map<String, FleetCollector> collectors = new LinkedHashMap<>();
  volatile boolean over;

  // figures of the deployment
  long seed = 1;
  List<String> zones = List.of("ams-west", "ams-zuid", "almere");
  List<String> classes = List.of("view", "sketch", "extract");
  int proxyCount = 12;
  int standing = 5;
  double emptyForS = 5.0;
  double graceS = 3.4;
  double coldS = 17;
  double reportEveryS = 1.0;
  long reportLateMs = 700;

  /** Dials that an assigner answered with NACK. */
  final java.util.concurrent.atomic.AtomicInteger refusals = new java.util.concurrent.atomic.AtomicInteger();
  int sockets = 512;
  int redialMinMs = 130;
  int redialMaxMs = 2_400;
  int lateMinMs = 30;
  int lateMaxMs = 300;
  double requestsPerSecond = 4;

  /** One assigner: its address, its present process, its discovery and its channel. */
  final class Assigner {
    int port;
    int index;
    Process process;
    int starts;
    volatile long firstPongAt;
    volatile boolean serving;
    Discovery discovery;
    double freeAt; // seconds: when the channel has sent all
    double maxBacklog;
  }
  final List<Assigner> assigners = new ArrayList<>();
  double pushRate = 2900;
  double head = 10;
  double backlog = 5800;
  int assignerCount = 2;

  /** A message enters the channel; returns when its last line has left it, in nanoTime. */
  long channel(Assigner a, double lines) {
    synchronized (a) {
      double now = System.nanoTime() / 1e9;
      a.freeAt = Math.max(now, a.freeAt) + lines / pushRate;
      double waiting = (a.freeAt - now) * pushRate;
      a.maxBacklog = Math.max(a.maxBacklog, waiting);
      return (long) (a.freeAt * 1e9);
    }
  }

  private final List<String> violations = new ArrayList<>();
  private final Set<String> reported = new HashSet<>();

  FleetCase(String[] args) throws IOException {
    root = Path.of(args[1]).toAbsolutePath();
    temp = Files.createTempDirectory("case");
    record = new Record(Path.of(args[0]));
    tasks = new Tasks(record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  abstract void play() throws Exception;

  /** Runs the case and returns the exit code: 1 a rule was broken, 0 it held, 2 it couldn't run. */
  int run() {
    try {
      record.note("trouble: " + (trouble ? "on" : "off"));
      play();
    } catch (Exception e) {
      e.printStackTrace();
      record.note("the case couldn't run: " + e);
      return 2;
    }
    over = true;
    synchronized (violations) {
      record.note(violations.isEmpty() ? "the rule held" : "the rule was broken, " + violations.size() + " times");
      return violations.isEmpty() ? 0 : 1;
    }
  }

  private void end() {
    over = true;
    assigners.stream().filter(a -> a.process != null).forEach(a -> a.process.destroyForcibly());
    try (var files = Files.walk(temp)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // left to the platform's cleaner
    }
  }

  // the deployment

  void addTask(String host, String zone, long bornMs) throws IOException {
    list.put(host, tasks.start(host), zone, "Ready", bornMs);
    record.line("task " + host + " of " + zone + " is ready");
  }

  void startFleet() {
    for (String zone : zones) {
      assigners.forEach(a -> collectors.put(zone + a.index, new FleetCollector(zone, this, a)));
    }
    collectors.values().forEach(FleetCollector::start);
    for (int id = 0; id < proxyCount; id++) {
      proxies.add(new FleetProxy(id, zones.get(id % zones.size()), this));
    }
    proxies.forEach(FleetProxy::start);
  }

  private String settings() {
    StringBuilder b = new StringBuilder("{\"balancers\":" + assignerCount + ",\"discovery\":\"on_request\",\"roundS\":0.005,\"weights\":\"rough\",");
    b.append("\"workload\":\"control\",\"worthBy\":\"request\",\"selfIndex\":0,\"zone\":\"" + zones.get(0) + "\",\"kinds\":[\"m2\"],");
    b.append("\"zones\":[" + quoted(zones) + "],\"categories\":[");
    String[] repeat = {"free", "guarded", "single_shot"};
    for (int k = 0; k < classes.size(); k++) {
      b.append(k == 0 ? "" : ",").append("{\"name\":\"" + classes.get(k) + "\",\"repeat\":\"" + repeat[k % 3]
          + "\",\"gain\":3.0,\"giveUpS\":1.5,\"goalTimeS\":0.5,\"group\":\"zone\",\"lateWorth\":0.1,\"windowS\":2.0}");
    }
    b.append("],\"familyInfo\":{\"backlog\":" + backlog + ",\"bootstrap\":" + standing + ",\"byZone\":false,\"defaultRetry\":0,");
    b.append("\"emptyForS\":" + emptyForS + ",\"homeOnly\":[false,false],\"lateS\":0.276,\"levelKind\":\"share\",");
    b.append("\"lineFee\":0.04,\"messagesOverS\":10.0,\"minConnCap\":191.0,\"oneOwner\":false,\"outlierAfter\":3,\"partitionsN\":0,");
    b.append("\"perMessage\":" + head + ",\"perTry\":1.2,\"proxyCount\":" + proxyCount + ",\"pushDelayMaxS\":0.69,\"pushRate\":" + pushRate + ",");
    b.append("\"reloadsMax\":30,\"reportEveryS\":" + reportEveryS + ",\"reportsPerS\":200.0,\"selectsBy\":\"weighted\",\"warmKeys\":false},");
    b.append("\"ceilings\":{\"mayProbe\":false,\"peers\":false},\"prices\":{\"crossZone\":0.12},");
    b.append("\"report\":{\"columns\":[\"utilization\",\"backlog\"],\"via\":\"answers\"},");
    b.append("\"rules\":{\"askEveryS\":10.0,\"coldS\":" + coldS + ",\"coldShare\":0.17,\"fallMultiple\":4.0,\"stopSendingWithinS\":" + graceS + ",\"tipAfterS\":2.0},");
    return b.append("\"scoringMix\":{\"whole\":0.5,\"worstClass\":0.3,\"worstTenant\":0.0,\"worstWindow\":0.2}}").toString();
  }

  private static String quoted(List<String> words) {
    return String.join(",", words.stream().map(w -> "\"" + w + "\"").toList());
  }

  // the assigner

  private static String runLine(Path root) throws IOException {
    Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!m.find()) {
      throw new IOException("deploy/balancer.toml has no line run");
    }
    return m.group(1);
  }

  void addAssigner() throws IOException {
    Assigner a = new Assigner();
    a.index = assigners.size();
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      a.port = free.getLocalPort();
    }
    a.discovery = new Discovery(list, record);
    assigners.add(a);
  }

  void writeConfig(Assigner a, List<TaskList.Entry> known, long knownSeq) throws IOException {
    Path config = temp.resolve("config" + a.index + ".json");
    Path next = temp.resolve("next" + a.index + ".json");
    Files.writeString(next, "{\"name\":\"n" + a.index + "\",\"listen\":\"127.0.0.1:" + a.port + "\",\"discovery\":\"127.0.0.1:" + a.discovery.port()
        + "\",\"seed\":\"" + Long.toHexString(seed * 7919 + a.starts) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":" + sockets + "},"
        + "\"known\":" + TaskList.json(knownSeq, true, known) + ",\"settings\":" + settings() + "}");
    Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  void startAssigner(Assigner a, List<TaskList.Entry> known, long knownSeq) throws IOException {
    a.starts++;
    a.freeAt = 0;
    writeConfig(a, known, knownSeq);
    a.discovery.newProcess(known);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root))
        .directory(root.toFile()).redirectErrorStream(true)
        .redirectOutput(log(a).toFile());
    builder.environment().put("NODE_CONFIG", temp.resolve("config" + a.index + ".json").toString());
    builder.environment().put("TMPDIR", temp.toString());
    long begun = System.nanoTime();
    a.process = builder.start();
    record.note("assigner " + a.index + " started, process " + a.starts + ", with a known list of " + known.size());
    while (true) {
      if (!a.process.isAlive() || System.nanoTime() - begun > 30e9) {
        throw new IOException("the assigner was not ready within 30 s");
      }
      try (Socket s = new Socket("127.0.0.1", a.port)) {
        s.setSoTimeout(2_000);
        s.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        if (s.getInputStream().read() == 'P') {
          break;
        }
      } catch (IOException e) {
        Threads.sleep(20);
      }
    }
    a.firstPongAt = System.nanoTime();
    a.serving = true;
    record.note("assigner " + a.index + " answered PONG");
  }

  void killAssigner(Assigner a) throws Exception {
    a.serving = false;
    a.process.destroyForcibly().waitFor();
  }

  Path log(Assigner a) {
    return temp.resolve("assigner-" + a.index + "-" + a.starts + ".log");
  }

  // the rules

  void violation(String key, String text) {
    synchronized (violations) {
      if (reported.add(key)) {
        violations.add(text);
        record.note("RULE BROKEN: " + text);
      }
    }
  }

  /** Called for each request that a proxy sends: the check of rule 3, "Safe drain". */
  void sent(FleetProxy p, String host, String label) {
    long now = System.nanoTime();
    record.line("proxy " + p.id + " sent " + label + " to " + host);
    Assigner a = p.inCharge;
    TaskList.Entry e = list.get(host);
    if (a == null || !a.serving || e.health().equals("Ready")) {
      return;
    }
    Discovery.Told t = a.discovery.told().get(host);
    if (t == null || t.health().equals("Ready")) {
      return; // that assigner is not told yet
    }
    long since = Math.max(Math.max(t.at(), p.inChargeSince()), a.firstPongAt + (long) (AFTER_START_S * 1e9));
    if (now - since > (graceS + SOCKETS_S) * 1e9) {
      violation("drain " + p.id + " " + host, String.format(Locale.ROOT,
          "proxy %d%s sent %s to %s, which is %s, %.3f s after assigner %d was told (grace %.1f s and 0.3 s)",
          p.id, p.refused ? ", not taken by assigner " + a.index + "," : "", label, host, e.health(), (now - since) / 1e9, a.index, graceS));
    }
  }
}

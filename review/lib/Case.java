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
 * One deployment: an assigner started by the line `run` of the deploy file, and stand-ins for all
 * that it talks with. A case sets the figures, starts the parts and plays its days; the rules are
 * checked here, with the 300 ms and the start of 1 s that PROTOCOL.md adds on sockets.
 */
abstract class Case {
  private static final double SOCKETS_S = 0.3;
  private static final double AFTER_START_S = 1.0;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root;
  final Path temp;
  final Record record;
  final TaskList list = new TaskList();
  final Tasks tasks;
  final List<Proxy> proxies = new ArrayList<>();
  final Map<String, Collector> collectors = new LinkedHashMap<>();
  Discovery discovery;
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
  int redialMinMs = 130;
  int redialMaxMs = 2_400;
  int lateMinMs = 30;
  int lateMaxMs = 300;
  double requestsPerSecond = 4;
  int port;

  private Process process;
  private int starts;
  private volatile long firstPongAt;
  private volatile boolean serving;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Long> bareSince = new LinkedHashMap<>();
  private final Set<String> reported = new HashSet<>();

  Case(String[] args) throws IOException {
    root = Path.of(args[1]).toAbsolutePath();
    temp = Files.createTempDirectory("case");
    record = new Record(Path.of(args[0]));
    tasks = new Tasks(record);
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = free.getLocalPort();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  abstract void play() throws Exception;

  /** Runs the case and returns the exit code: 1 a rule was broken, 0 it held, 2 it couldn't run. */
  int run() {
    try {
      record.note("trouble: " + (trouble ? "on" : "off"));
      discovery = new Discovery(list, record);
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
    if (process != null) {
      process.destroyForcibly();
    }
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
      collectors.put(zone, new Collector(zone, this));
    }
    collectors.values().forEach(Collector::start);
    for (int id = 0; id < proxyCount; id++) {
      proxies.add(new Proxy(id, zones.get(id % zones.size()), this));
    }
    proxies.forEach(Proxy::start);
  }

  private String settings() {
    StringBuilder b = new StringBuilder("{\"balancers\":1,\"discovery\":\"on_request\",\"roundS\":0.005,\"weights\":\"rough\",");
    b.append("\"workload\":\"control\",\"worthBy\":\"request\",\"selfIndex\":0,\"zone\":\"" + zones.get(0) + "\",\"kinds\":[\"m2\"],");
    b.append("\"zones\":[" + quoted(zones) + "],\"categories\":[");
    String[] repeat = {"free", "guarded", "single_shot"};
    for (int k = 0; k < classes.size(); k++) {
      b.append(k == 0 ? "" : ",").append("{\"name\":\"" + classes.get(k) + "\",\"repeat\":\"" + repeat[k % 3]
          + "\",\"gain\":3.0,\"giveUpS\":1.5,\"goalTimeS\":0.5,\"group\":\"zone\",\"lateWorth\":0.1,\"windowS\":2.0}");
    }
    b.append("],\"familyInfo\":{\"backlog\":5800.0,\"bootstrap\":" + standing + ",\"byZone\":false,\"defaultRetry\":0,");
    b.append("\"emptyForS\":" + emptyForS + ",\"homeOnly\":[false,false,false],\"lateS\":0.276,\"levelKind\":\"share\",");
    b.append("\"lineFee\":0.04,\"messagesOverS\":10.0,\"minConnCap\":191.0,\"oneOwner\":false,\"outlierAfter\":3,\"partitionsN\":0,");
    b.append("\"perMessage\":10.0,\"perTry\":1.2,\"proxyCount\":" + proxyCount + ",\"pushDelayMaxS\":0.69,\"pushRate\":2900.0,");
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

  /** Starts a process of the assigner with the list as it is now, and waits for its PONG. */
  void startAssigner(List<TaskList.Entry> known, long knownSeq) throws IOException {
    starts++;
    Path config = temp.resolve("config.json");
    Path next = temp.resolve("next.json");
    String listen = "127.0.0.1:" + port;
    String address = "127.0.0.1:" + discovery.port();
    Files.writeString(next, "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + address
        + "\",\"seed\":\"" + Long.toHexString(seed * 7919 + starts) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512},"
        + "\"known\":" + TaskList.json(knownSeq, true, known) + ",\"settings\":" + settings() + "}");
    Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    discovery.newProcess(known);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root))
        .directory(root.toFile()).redirectErrorStream(true)
        .redirectOutput(temp.resolve("assigner-" + starts + ".log").toFile());
    builder.environment().put("NODE_NAME", "n1");
    builder.environment().put("NODE_LISTEN", listen);
    builder.environment().put("NODE_DISCOVERY", address);
    builder.environment().put("NODE_CONFIG", config.toString());
    builder.environment().put("TMPDIR", temp.toString());
    long begun = System.nanoTime();
    process = builder.start();
    record.note("assigner started, process " + starts + ", with a known list of " + known.size());
    while (true) {
      if (!process.isAlive() || System.nanoTime() - begun > 30e9) {
        throw new IOException("the assigner was not ready within 30 s");
      }
      try (Socket s = new Socket("127.0.0.1", port)) {
        s.setSoTimeout(2_000);
        s.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        if (s.getInputStream().read() == 'P') {
          break;
        }
      } catch (IOException e) {
        Threads.sleep(20);
      }
    }
    firstPongAt = System.nanoTime();
    serving = true;
    record.note("assigner answered PONG");
  }

  /** A planned restart as the platform does it: SIGTERM, SIGKILL no sooner than 0.7 s later. */
  void stopAssigner() throws Exception {
    serving = false;
    record.note("SIGTERM to the assigner");
    process.destroy();
    if (!process.waitFor(2, TimeUnit.SECONDS)) {
      process.destroyForcibly().waitFor();
    }
    record.note("the assigner has ended");
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

  /** Starts the check of rule 1, "Nobody left without a server", on all proxies. */
  void checkBare() {
    Threads.start("check", () -> {
      while (!over) {
        Threads.sleep(50);
        long now = System.nanoTime();
        Map<String, Discovery.Told> told = discovery.told();
        for (Proxy p : proxies) {
          for (String name : classes) {
            String key = p.id + " " + name;
            boolean warmListed = told.values().stream().anyMatch(t -> t.health().equals("Ready")
                && (t.bornMs() == 0 || System.currentTimeMillis() - t.bornMs() >= coldS * 1000));
            if (!serving || !p.isJoined() || !warmListed || !p.lines(name).isEmpty()) {
              bareSince.remove(key);
              continue;
            }
            long since = Math.max(bareSince.computeIfAbsent(key, k -> now), firstPongAt + (long) (AFTER_START_S * 1e9));
            since = Math.max(since, p.joinedAt());
            if (now - since > (emptyForS + SOCKETS_S) * 1e9) {
              violation("bare " + key, String.format(Locale.ROOT,
                  "proxy %d of %s has had no line to pick for class %s for over %.1f s while a warm task is listed as ready",
                  p.id, p.zone, name, emptyForS + SOCKETS_S));
            }
          }
        }
      }
    });
  }

  /** Called for each request that a proxy sends: the check of rule 3, "Safe drain". */
  void sent(Proxy p, String host, String label) {
    long now = System.nanoTime();
    record.line("proxy " + p.id + " sent " + label + " to " + host);
    TaskList.Entry e = list.get(host);
    if (e == null || e.health().equals("Ready") || !serving || !p.isJoined()) {
      return;
    }
    // told once written, and 6 s after discovery had it to tell at the latest
    long toldAt = e.changedAt() + 6_000_000_000L;
    Discovery.Told t = discovery.told().get(host);
    if (t != null && !t.health().equals("Ready") && t.at() > e.changedAt()) {
      toldAt = Math.min(toldAt, t.at());
    }
    long since = Math.max(Math.max(toldAt, p.joinedAt()), firstPongAt + (long) (AFTER_START_S * 1e9));
    if (now - since > (graceS + SOCKETS_S) * 1e9) {
      violation("drain " + p.id + " " + host, String.format(Locale.ROOT,
          "proxy %d sent %s to %s, which is %s, %.3f s after the assigner counts as told (grace %.1f s and 0.3 s)",
          p.id, label, host, e.health(), (now - since) / 1e9, graceS));
    }
  }

}

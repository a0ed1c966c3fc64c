import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback around one real assigner: discovery, proxies, a collector for each
 * zone and tasks, all in this process. Everything that is sent, answered and run is written to a
 * record. Times are milliseconds since the rig was made. The channel of the protocol page (lines a
 * second, mean delay) is modelled on the proxies' side: a message takes effect when it has left it.
 */
class Rig implements AutoCloseable {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final long STARTED = System.nanoTime();

  // Settings; a case changes them before start().
  List<String> zones = new ArrayList<>(List.of("west", "south", "east"));
  String[][] classes = {{"view", "free"}, {"sketch", "guarded"}, {"extract", "single_shot"}};
  boolean[] homeOnly = {false, false, false};
  int balancers = 1;
  int proxyCount = 12;
  int bootstrap = 5;
  double emptyForS = 5.0;
  double graceS = 3.4;
  double coldS = 17;
  double coldShare = 0.17;
  double fallMultiple = 4;
  double askEveryS = 10;
  double reportEveryS = 1;
  double backlog = 5800;
  double pushRate = 2900;
  double perMessage = 10;
  double lateS = 0.27;
  int reloadsMax = 30;
  int redialFromMs = 130;
  int redialToMs = 830;
  int outlierAfter = 3;
  double steerClearMs = 4000;
  int sockets = 1024;
  boolean droppedStayOpen = false;
  String known = null; // JSON of the list that the configuration holds; null: the present list
  long seed = 0x8c1f30d27a5be964L;

  final Random random = new Random(1);
  final Path repo;
  final Path work;
  final BufferedWriter record;
  final ScheduledExecutorService timers = Executors.newScheduledThreadPool(8, Rig::daemon);
  final int port;
  Discovery discovery;
  Process assigner;
  double pongAt = -1;
  final Map<Integer, Proxy> proxies = new TreeMap<>();
  final Channel channel = new Channel();

  private final List<String> breaches = new ArrayList<>();
  volatile boolean closed;

  Rig(Path caseFolder) throws IOException {
    repo = Path.of(System.getenv("REPO"));
    work = Path.of(System.getenv("CASE_TMP"));
    record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
    port = freePort();
    discovery = new Discovery();
  }

  static double now() {
    return (System.nanoTime() - STARTED) / 1e6;
  }

  static Thread daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  static void sleep(double ms) throws InterruptedException {
    Thread.sleep((long) ms);
  }

  /**
   * Returns a free port below those that the system hands out by itself, so that neither a dial nor
   * another case takes it before the assigner listens.
   */
  static int freePort() throws IOException {
    Random draws = new Random();
    for (int attempt = 0; attempt < 1000; attempt++) {
      int port = 12_000 + draws.nextInt(18_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Taken; draws another.
      }
    }
    throw new IOException("no free port found");
  }

  void log(String format, Object... values) {
    String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
    synchronized (record) {
      try {
        record.write(String.format(Locale.ROOT, "%9.1f %s%n", now(), text));
      } catch (IOException e) {
        // The record has been closed.
      }
    }
  }

  /** Notes that the rule was broken. */
  void breach(String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    log("BROKEN " + text);
    synchronized (breaches) {
      breaches.add(text);
    }
  }

  /** Prints the verdict and returns the exit code. */
  int verdict() throws NotRun {
    if (!assigner.isAlive()) {
      throw new NotRun("the assigner has ended with exit code " + assigner.exitValue());
    }
    long joined = proxies.values().stream().filter(proxy -> proxy.socket != null).count();
    log("%d of %d proxies are joined", joined, proxies.size());
    if (joined == 0) {
      throw new NotRun("no proxy is joined at the end");
    }
    long sent = proxies.values().stream().mapToLong(proxy -> proxy.sent).sum();
    long failed = proxies.values().stream().mapToLong(proxy -> proxy.failed).sum();
    long refused = proxies.values().stream().mapToLong(proxy -> proxy.refused).sum();
    log("requests: %d sent, %d of them failed; %d refused, no task to pick", sent, failed, refused);
    System.out.printf(
        "requests: %d sent, %d of them failed; %d refused, no task to pick%n",
        sent, failed, refused);
    synchronized (breaches) {
      breaches.stream().limit(6).forEach(text -> System.out.println("BROKEN " + text));
      String line = breaches.isEmpty() ? "HELD" : "BROKEN in " + breaches.size() + " places";
      System.out.println(line);
      log(line);
      return breaches.isEmpty() ? 0 : 1;
    }
  }

  int breachCount() {
    synchronized (breaches) {
      return breaches.size();
    }
  }

  // ---------------------------------------------------------------- the assigner

  String settings() {
    StringBuilder cats = new StringBuilder();
    StringBuilder home = new StringBuilder();
    StringBuilder writes = new StringBuilder();
    for (int k = 0; k < classes.length; k++) {
      String comma = k == 0 ? "" : ",";
      cats.append(comma)
          .append("{\"name\":\"" + classes[k][0] + "\",\"repeat\":\"" + classes[k][1])
          .append("\",\"gain\":3.0,\"giveUpS\":1.5,\"goalTimeS\":0.6,\"group\":\"zone\"")
          .append(",\"lateWorth\":0.1,\"windowS\":2.0}");
      home.append(comma).append(homeOnly[k]);
      writes.append(comma).append(k > 0);
    }
    String zoneList = "\"" + String.join("\",\"", zones) + "\"";
    return "{\"balancers\":" + balancers + ",\"categories\":[" + cats + "],"
        + "\"ceilings\":{\"connIdleS\":15.0,\"connectTimeoutS\":0.25,\"cpuUsPerS\":639000,"
        + "\"mayProbe\":false,\"peers\":false,\"streamsPerConn\":100},"
        + "\"discovery\":\"on_request\",\"familyInfo\":{\"backlog\":" + backlog
        + ",\"bootstrap\":" + bootstrap + ",\"byZone\":false,\"defaultRetry\":0,\"emptyForS\":"
        + emptyForS + ",\"holdS\":0.3,\"homeOnly\":[" + home + "],\"inFlightMaxS\":2.02,"
        + "\"keepsWritingS\":2.5,\"lateS\":" + lateS + ",\"levelKind\":\"share\",\"lineFee\":0.04,"
        + "\"messagesOverS\":10.0,\"minConnCap\":191.0,\"movePrice\":0.01,\"oneOwner\":false,"
        + "\"outlierAfter\":" + outlierAfter + ",\"partitionsN\":0,\"perMessage\":" + perMessage + ",\"perTry\":1.2,"
        + "\"proxyCount\":" + proxyCount + ",\"pushDelayMaxS\":0.69,\"pushRate\":" + pushRate
        + ",\"reloadsMax\":" + reloadsMax + ",\"reportEveryS\":" + reportEveryS
        + ",\"reportsPerS\":200.0,\"selectsBy\":\"two\",\"warmKeys\":false,\"writeClasses\":["
        + writes + "]},\"kinds\":[\"c2-std\"],"
        + "\"prices\":{\"connection\":0.02,\"crossZone\":0.12,\"discovery\":0.0,\"handshake\":0.04,"
        + "\"lateFail\":0.03,\"moves\":0.0,\"peer\":0.0,\"probe\":0.0,\"waste\":0.05},"
        + "\"report\":{\"columns\":[\"utilization\",\"backlog\"],\"via\":\"answers\"},"
        + "\"roundS\":0.005,\"rules\":{\"askEveryS\":" + askEveryS + ",\"coldS\":" + coldS
        + ",\"coldShare\":" + coldShare + ",\"fallMultiple\":" + fallMultiple
        + ",\"stopSendingWithinS\":" + graceS + ",\"tipAfterS\":2.0"
        + (droppedStayOpen ? ",\"droppedStayOpen\":true" : "") + "},"
        + "\"scoringMix\":{\"whole\":0.5,\"worstClass\":0.3,\"worstTenant\":0.0,"
        + "\"worstWindow\":0.2},\"selfIndex\":0,\"weights\":\"rough\",\"workload\":\"control\","
        + "\"worthBy\":\"request\",\"zone\":\"" + zones.get(0) + "\",\"zones\":[" + zoneList + "]}";
  }

  Path configFile() {
    return work.resolve("config.json");
  }

  void writeConfig() throws IOException {
    String list = known == null ? discovery.whole() : known;
    Files.writeString(
        configFile(),
        "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
            + discovery.port() + "\",\"seed\":\"" + String.format("%016x", seed)
            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":" + sockets + "},"
            + "\"known\":" + list + ",\"settings\":" + settings() + "}");
  }

  static String deployLine(Path repo, String name) throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^" + name + " = \"(.*)\"$")
            .matcher(Files.readString(repo.resolve("deploy/balancer.toml")));
    if (!matcher.find()) {
      throw new IOException("no line " + name + " in deploy/balancer.toml");
    }
    return matcher.group(1);
  }

  /** Starts the assigner by the deploy file's line, and waits for its first PONG. */
  void startAssigner() throws Exception {
    writeConfig();
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", deployLine(repo, "run"))
            .directory(repo.toFile())
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(work.resolve("assigner.log").toFile()));
    builder.environment().put("NODE_NAME", "n1");
    builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("NODE_DISCOVERY", "127.0.0.1:" + discovery.port());
    builder.environment().put("NODE_CONFIG", configFile().toString());
    builder.environment().put("TMPDIR", work.toString());
    Process started = builder.start();
    assigner = started;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    log("assigner started");
    double limit = now() + 30_000;
    while (now() < limit && assigner.isAlive()) {
      if (ping()) {
        pongAt = now();
        log("assigner answered PONG");
        return;
      }
      sleep(50);
    }
    throw new NotRun("the assigner did not answer PING within 30 s");
  }

  /** Signals that a case could not run. */
  static class NotRun extends Exception {
    private static final long serialVersionUID = 1;

    NotRun(String message) {
      super(message);
    }
  }

  boolean ping() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
      socket.setSoTimeout(2000);
      socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
      return socket.getInputStream().read() == 'P';
    } catch (IOException e) {
      return false;
    }
  }

  /** A planned restart begins: SIGTERM, and SIGKILL if it has not ended 1 s later. */
  void terminateAssigner() throws InterruptedException {
    log("SIGTERM to the assigner");
    pongAt = -1;
    assigner.destroy();
    if (!assigner.waitFor(1000, TimeUnit.MILLISECONDS)) {
      killAssigner();
    }
    log("the assigner has ended");
  }

  void killAssigner() throws InterruptedException {
    pongAt = -1;
    assigner.destroyForcibly().waitFor();
    log("assigner killed");
  }

  // ---------------------------------------------------------------- tasks and discovery

  /** A task as discovery lists it. */
  static final class Task {
    final String host;
    final String site;
    volatile String health = "Ready";
    volatile long bornMs;
    volatile boolean up = true;
    volatile boolean drained; // has been listed as Terminating since it was last ready
    volatile long seq = 1;

    /** When the change to the present health counts as told to the assigner. */
    volatile double toldAt;

    Task(String host, String site) {
      this.host = host;
      this.site = site;
    }

    String json() {
      return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:7070\",\"site\":\"" + site
          + "\",\"class\":\"c2-std\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,"
          + "\"born_ms\":" + bornMs + "}";
    }

    boolean ready() {
      return health.equals("Ready");
    }
  }

  /** The discovery service; one for all assigners. */
  final class Discovery {
    final Map<String, Task> tasks = new LinkedHashMap<>();
    private long seq = 1;
    private ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** Objects are delivered in so many pieces, so many milliseconds apart; 0: at once. */
    volatile int pieces;

    volatile int pieceMs;
    volatile boolean failing; // each call is answered with 503

    /** The oldest version whose later changes are still held; an older index gets the whole list. */
    volatile long heldSince;

    Discovery() throws IOException {
      server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      listen(server);
    }

    int port() {
      return server.getLocalPort();
    }

    private void listen(ServerSocket listening) {
      daemon(
              () -> {
                while (true) {
                  try {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> serve(socket)).start();
                  } catch (IOException e) {
                    return;
                  }
                }
              })
          .start();
    }

    /** Discovery goes down: watches end, new connections are refused. */
    void goDown() throws IOException {
      log("discovery goes down");
      server.close();
      open.forEach(Rig::reset);
      open.clear();
    }

    void comeBack() throws IOException, InterruptedException {
      int port = server.getLocalPort();
      for (int attempt = 0; ; attempt++) {
        try {
          ServerSocket again = new ServerSocket();
          again.setReuseAddress(true);
          again.bind(new InetSocketAddress("127.0.0.1", port), 50);
          server = again;
          break;
        } catch (BindException e) {
          if (attempt == 20) {
            throw e;
          }
          sleep(100);
        }
      }
      listen(server);
      log("discovery is back");
    }

    synchronized Task add(String host, String site) {
      Task task = new Task(host, site);
      tasks.put(host, task);
      touch(task);
      return task;
    }

    synchronized void touch(Task task) {
      task.seq = ++seq;
      notifyAll();
    }

    /** Changes the health of some tasks in one object of the watch. */
    synchronized void change(String health, List<Task> changed) {
      seq++;
      for (Task task : changed) {
        boolean bound = droppedStayOpen ? task.drained : !task.ready();
        task.health = health;
        task.drained = !task.ready() && (task.drained || health.equals("Terminating"));
        task.seq = seq;
        // Told 6 s later at the latest, whether or not it arrived.
        if (!bound || task.ready()) {
          task.toldAt = now() + 6000;
        }
        log("list: %s %s born_ms=%d (seq %d)", task.host, health, task.bornMs, seq);
      }
      notifyAll();
    }

    synchronized String whole() {
      return object(true, 0);
    }

    private String object(boolean all, long since) {
      StringBuilder text = new StringBuilder();
      for (Task task : tasks.values()) {
        boolean shown = all ? !task.health.equals("Gone") : task.seq > since;
        if (shown) {
          text.append(text.length() == 0 ? "" : ",").append(task.json());
        }
      }
      return "{\"seq\":" + seq + ",\"whole\":" + all + ",\"hosts\":[" + text + "]}";
    }

    private void serve(Socket socket) {
      try (socket) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String request = in.readLine();
        for (String line = request; line != null && !line.isEmpty(); line = in.readLine()) {
          // headers
        }
        if (request == null) {
          return;
        }
        log("discovery is asked: %s%s", request, failing ? " -> 503" : "");
        OutputStream out = socket.getOutputStream();
        if (failing) {
          send(out, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
          return;
        }
        Matcher matcher = Pattern.compile("index=(\\d+)").matcher(request);
        if (!matcher.find()) {
          String body = whole() + "\n";
          send(
              out,
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                  + body.length() + "\r\n\r\n" + body);
          return;
        }
        send(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n");
        long sent = Long.parseLong(matcher.group(1));
        boolean first = true;
        while (true) {
          String text;
          List<Task> told = new ArrayList<>();
          synchronized (this) {
            if (!first && seq <= sent) {
              wait(2000);
            }
            if (first || seq > sent) {
              // An index of 0, or one from another time, gets the whole list.
              boolean all = first && (sent == 0 || sent > seq || sent < heldSince);
              text = object(all, sent) + "\n";
              for (Task task : tasks.values()) {
                if (all || task.seq > sent) {
                  told.add(task);
                }
              }
              sent = seq;
            } else {
              text = "\n";
            }
            first = false;
          }
          send(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
          double at = now();
          for (Task task : told) {
            task.toldAt = Math.min(task.toldAt, at);
          }
        }
      } catch (IOException | InterruptedException e) {
        // The connection has ended.
      } finally {
        open.remove(socket);
      }
    }

    private void send(OutputStream out, String text) throws IOException, InterruptedException {
      byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
      boolean object = text.indexOf('{') >= 0;
      int piece = object && pieces > 0 ? (bytes.length + pieces - 1) / pieces : bytes.length;
      for (int from = 0; from < bytes.length; from += piece) {
        if (from > 0) {
          sleep(pieceMs);
        }
        out.write(bytes, from, Math.min(piece, bytes.length - from));
        out.flush();
      }
      if (object) {
        log("discovery wrote %d bytes: %s", bytes.length, text.strip());
      }
    }
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  // ---------------------------------------------------------------- the channel

  /** The assigner's channel, as the proxies see it: one queue, lines a second, then a delay. */
  final class Channel {
    private double emptyAt;
    double highest;
    volatile double slowdown = 1;

    /** Returns when a message of so many lines takes effect. */
    synchronized double enter(int lines) {
      double rate = pushRate / slowdown / 1000;
      emptyAt = Math.max(emptyAt, now()) + lines / rate;
      highest = Math.max(highest, (emptyAt - now()) * rate);
      return emptyAt + lateS * 1000 * (0.5 + random.nextDouble());
    }
  }

  // ---------------------------------------------------------------- proxies

  /** What a proxy told of a task or a class since the last report. */
  private static final class Sum {
    long count;
    long fail;
  }

  final Map<String, Map<String, Sum>> loadBySite = new HashMap<>();

  /** A proxy by the protocol page. */
  final class Proxy {
    final int id;
    final String site;
    final double rps;
    final Map<String, Map<String, Double>> rows = new HashMap<>();
    final Set<String> drops = new LinkedHashSet<>();
    boolean ordered; // holds a table that an assigner ordered
    volatile Socket socket;
    volatile double joinedAt = Double.MAX_VALUE;
    volatile boolean dialing;
    private double lastEffect;
    private final ArrayDeque<Runnable> inOrder = new ArrayDeque<>();
    private final Map<String, Sum> rates = new HashMap<>();
    private final Map<String, Double> emptySince = new HashMap<>();
    private final Set<String> emptyBroken = new LinkedHashSet<>();
    private final Set<String> drainBroken = new LinkedHashSet<>();
    private int messageParts;
    private int messageLines;
    private final List<Map<String, String>> message = new ArrayList<>();
    private final Map<String, Integer> failuresInRow = new HashMap<>();
    private final Map<String, Double> steersClearUntil = new HashMap<>();
    long sent;
    long failed;
    long refused;

    Proxy(int id, String site, double rps) {
      this.id = id;
      this.site = site;
      this.rps = rps;
      for (String[] name : classes) {
        rows.put(name[0], new LinkedHashMap<>());
      }
    }

    /** Gives the proxy a table: its standing one, or (ordered) one of another assigner. */
    synchronized void hold(List<Task> tasks, boolean byOrder) {
      for (Map<String, Double> table : rows.values()) {
        table.clear();
        tasks.forEach(task -> table.put(task.host, 1.0));
      }
      ordered = byOrder;
      StringBuilder names = new StringBuilder();
      tasks.forEach(task -> names.append(' ').append(task.host));
      log("proxy %d (%s) holds%s%s", id, site, names, byOrder ? " by order" : ", standing");
    }

    /** Dials until it is joined; dials again after each break. */
    void dial(double delayMs) {
      timers.schedule(() -> daemon(this::run).start(), (long) delayMs, TimeUnit.MILLISECONDS);
    }

    private void run() {
      while (!closed) {
        try (Socket dialled = new Socket()) {
          dialled.connect(new InetSocketAddress("127.0.0.1", port), 1000);
          dialled.setTcpNoDelay(true);
          String line =
              String.format(
                  Locale.ROOT, "SUBSCRIBE id=%d site=%s rps=%.1f new=%d", id, site, rps,
                  ordered ? 0 : 1);
          writeJoin(dialled, line + "\r\n");
          log("proxy %d -> %s", id, line);
          synchronized (this) {
            socket = dialled;
            joinedAt = now();
            emptySince.clear();
            message.clear();
          }
          read(dialled);
        } catch (IOException | InterruptedException e) {
          // Refused, reset or closed.
        }
        synchronized (this) {
          if (socket != null) {
            log("proxy %d: its stream has ended", id);
          }
          socket = null;
          joinedAt = Double.MAX_VALUE;
        }
        if (closed) {
          return;
        }
        try {
          sleep(redialFromMs + random.nextInt(redialToMs - redialFromMs));
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    void writeJoin(Socket dialled, String line) throws IOException, InterruptedException {
      dialled.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
    }

    private void read(Socket stream) throws IOException {
      InputStream in = stream.getInputStream();
      StringBuilder text = new StringBuilder();
      byte[] buffer = new byte[8192];
      for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
        text.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
        for (int end = text.indexOf("\r\n"); end >= 0; end = text.indexOf("\r\n")) {
          accept(stream, text.substring(0, end));
          text.delete(0, end + 2);
        }
      }
    }

    private void accept(Socket stream, String line) {
      log("proxy %d <- %s", id, line);
      if (!line.startsWith("CONFIG")) {
        return;
      }
      Map<String, String> fields = new HashMap<>();
      for (String word : line.split(" ")) {
        int equals = word.indexOf('=');
        if (equals > 0) {
          fields.put(word.substring(0, equals), word.substring(equals + 1));
        }
      }
      message.add(fields);
      messageLines += lines(fields);
      if ("1".equals(fields.get("part"))) {
        return;
      }
      List<Map<String, String>> whole = List.copyOf(message);
      message.clear();
      double effect =
          Math.max(channel.enter(messageLines + (int) perMessage), lastEffect + 0.01);
      messageLines = 0;
      lastEffect = effect;
      double entered = now();
      synchronized (this) {
        inOrder.add(() -> apply(stream, whole, entered));
      }
      timers.schedule(
          this::applyNext,
          (long) ((effect - now()) * 1000),
          TimeUnit.MICROSECONDS);
    }

    /** Applies the message that entered the channel first, whichever thread's timer ran first. */
    private synchronized void applyNext() {
      inOrder.remove().run();
    }

    private int lines(Map<String, String> fields) {
      int count = 0;
      for (String list : List.of("rows", "drop", "undrop")) {
        count += fields.containsKey(list) ? fields.get(list).split(",").length : 0;
      }
      return count
          + (fields.containsKey("gate") ? 1 : 0)
          + (fields.containsKey("stamp") ? 1 : 0)
          + ("1".equals(fields.get("replace")) ? 1 : 0);
    }

    private synchronized void apply(
        Socket stream, List<Map<String, String>> parts, double entered) {
      if (socket != stream) {
        return; // lost with its stream
      }
      String stamp = null;
      for (Map<String, String> fields : parts) {
        List<String> names =
            fields.containsKey("for")
                ? List.of(fields.get("for").split("\\+"))
                : List.copyOf(rows.keySet());
        for (String name : names) {
          Map<String, Double> table = rows.get(name);
          if ("1".equals(fields.get("replace"))) {
            table.clear();
            ordered = true;
          }
          for (String row : split(fields.get("rows"))) {
            int colon = row.lastIndexOf(':');
            double weight = Double.parseDouble(row.substring(colon + 1));
            if (weight > 0) {
              table.put(row.substring(0, colon), weight);
            } else {
              table.remove(row.substring(0, colon));
            }
          }
        }
        drops.addAll(split(fields.get("drop")));
        drops.removeAll(split(fields.get("undrop")));
        stamp = fields.getOrDefault("stamp", stamp);
      }
      log("proxy %d applied; rows %s drops %s", id, rows.get(classes[0][0]), drops);
      if (stamp != null) {
        say("ACK id=%d seq=%s ms=%.1f", id, stamp, now() - entered);
      }
    }

    void say(String format, Object... values) {
      Socket stream = socket;
      if (stream == null) {
        return;
      }
      String line = String.format(Locale.ROOT, format, values);
      log("proxy %d -> %s", id, line);
      try {
        stream.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
      } catch (IOException e) {
        // The reader sees the end of the stream.
      }
    }

    void breakStream() {
      Socket stream = socket;
      if (stream != null) {
        reset(stream);
      }
    }

    private List<String> split(String list) {
      return list == null || list.isEmpty() ? List.of() : List.of(list.split(","));
    }

    /** Whether a class may use a task at all. */
    boolean open(int k, String host) {
      Task task = discovery.tasks.get(host);
      return task == null || !homeOnly[k] || task.site.equals(site);
    }

    /** The lines that can be picked for a class. */
    synchronized List<String> usable(int k) {
      List<String> usable = new ArrayList<>();
      for (String host : rows.get(classes[k][0]).keySet()) {
        if (!drops.contains(host) && open(k, host)) {
          usable.add(host);
        }
      }
      return usable;
    }

    /** One request of a class: picks a line by weight, sends, notes the outcome. */
    synchronized void request(int k) {
      String name = classes[k][0];
      Sum rate = rates.computeIfAbsent(name, key -> new Sum());
      rate.count++;
      List<String> usable = usable(k);
      if (usable.isEmpty()) {
        refused++;
        rate.fail++;
        log("proxy %d: %s refused, no task to pick", id, name);
        return;
      }
      List<String> others = new ArrayList<>(usable);
      others.removeIf(host -> steersClearUntil.getOrDefault(host, 0.0) > now());
      usable = others.isEmpty() ? usable : others;
      double total = 0;
      for (String host : usable) {
        total += rows.get(name).get(host);
      }
      double draw = random.nextDouble() * total;
      String picked = usable.get(usable.size() - 1);
      for (String host : usable) {
        draw -= rows.get(name).get(host);
        if (draw < 0) {
          picked = host;
          break;
        }
      }
      sent++;
      Task task = discovery.tasks.get(picked);
      boolean good = task != null && task.up;
      log("proxy %d: %s sent to %s %s", id, name, picked, good ? "ok" : "failed");
      if (good) {
        failuresInRow.remove(picked);
      } else {
        failed++;
        rate.fail++;
        if (failuresInRow.merge(picked, 1, Integer::sum) >= outlierAfter && outlierAfter > 0) {
          failuresInRow.remove(picked);
          steersClearUntil.put(picked, now() + steerClearMs);
        }
      }
      synchronized (loadBySite) {
        Sum sum =
            loadBySite
                .computeIfAbsent(site, key -> new HashMap<>())
                .computeIfAbsent(picked, key -> new Sum());
        sum.count++;
        sum.fail += good ? 0 : 1;
      }
      checkDrain(task, name);
    }

    /** Drains kept: no request after the grace (and the page's 300 ms). */
    private void checkDrain(Task task, String name) {
      boolean binds = task != null && (droppedStayOpen ? task.drained : !task.ready());
      if (!binds || socket == null || pongAt < 0) {
        return;
      }
      double from = Math.max(Math.max(task.toldAt, joinedAt), pongAt + 1000);
      double allowed = from + graceS * 1000 + 300;
      if (now() > allowed && drainBroken.add(task.host)) {
        breach(
            "drain: proxy %d sent %s to %s (%s) %.0f ms after it was told or joined, allowed %.0f",
            id, name, task.host, task.health, now() - from, graceS * 1000 + 300);
      }
    }

    /** Nobody left without a task: checks for how long no line could be picked. */
    synchronized void checkEmpty() {
      for (int k = 0; k < classes.length; k++) {
        String name = classes[k][0];
        boolean empty = socket != null && usable(k).isEmpty() && warmTaskListed(k);
        if (!empty) {
          emptySince.remove(name);
          continue;
        }
        double since = Math.max(emptySince.computeIfAbsent(name, key -> now()), pongAt + 1000);
        if (now() - since > emptyForS * 1000 + 300 && emptyBroken.add(name)) {
          breach(
              "nobody left without a task: proxy %d (%s) has had no line to pick for %s for"
                  + " %.0f ms, allowed %.0f; its rows %s, shut out %s",
              id, site, name, now() - since, emptyForS * 1000 + 300, rows.get(name).keySet(),
              drops);
        }
      }
    }

    private boolean warmTaskListed(int k) {
      for (Task task : List.copyOf(discovery.tasks.values())) {
        boolean warm =
            task.bornMs == 0 || System.currentTimeMillis() - task.bornMs >= coldS * 1000;
        if (task.ready() && warm && task.toldAt <= now() && open(k, task.host)) {
          return true;
        }
      }
      return false;
    }

    private synchronized void reportRates() {
      rates.forEach(
          (name, sum) -> {
            if (sum.count > 0) {
              say(
                  "RATE id=%d lane=%s count=%d fail=%d over=%.1f", id, name, sum.count, sum.fail,
                  reportEveryS * 1000);
            }
          });
      rates.clear();
    }
  }

  Proxy addProxy(int id, String site, double rps) {
    Proxy proxy = new Proxy(id, site, rps);
    proxies.put(id, proxy);
    return proxy;
  }

  // ---------------------------------------------------------------- traffic and collectors

  volatile boolean reporting = true;

  /** Starts requests, checks, reports and one collector a zone. */
  void startTraffic() {
    for (Proxy proxy : proxies.values()) {
      scheduleRequest(proxy);
    }
    timers.scheduleAtFixedRate(
        () -> proxies.values().forEach(Proxy::checkEmpty), 50, 50, TimeUnit.MILLISECONDS);
    for (String zone : zones) {
      daemon(() -> collect(zone)).start();
    }
  }

  private void scheduleRequest(Proxy proxy) {
    double waitMs = -Math.log(1 - random.nextDouble()) * 1000 / proxy.rps;
    timers.schedule(
        () -> {
          if (!closed) {
            proxy.request(random.nextInt(classes.length));
            scheduleRequest(proxy);
          }
        },
        (long) (waitMs * 1000),
        TimeUnit.MICROSECONDS);
  }

  private void collect(String zone) {
    while (!closed) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setTcpNoDelay(true);
        OutputStream out = socket.getOutputStream();
        out.write(("SOURCE site=" + zone + "\r\n").getBytes(StandardCharsets.US_ASCII));
        log("collector %s joins", zone);
        while (!closed) {
          sleep(reportEveryS * 1000);
          if (!reporting) {
            continue;
          }
          Map<String, Sum> sums;
          synchronized (loadBySite) {
            sums = loadBySite.remove(zone);
          }
          StringBuilder lines = new StringBuilder();
          if (sums != null) {
            sums.forEach(
                (host, sum) ->
                    lines.append(
                        String.format(
                            Locale.ROOT,
                            "LOAD site=%s target=%s count=%d fail=%d mean=%.1f over=%.1f%s\r\n",
                            zone, host, sum.count, sum.fail, sum.fail < sum.count ? 110.0 : 0.0,
                            reportEveryS * 1000,
                            sum.fail < sum.count ? " util=util:0.40,queue:0" : "")));
          }
          if (lines.length() > 0) {
            log("collector %s -> %s", zone, lines.toString().strip().replace("\r\n", " | "));
            out.write(lines.toString().getBytes(StandardCharsets.US_ASCII));
          }
          for (Proxy proxy : proxies.values()) {
            if (proxy.site.equals(zone)) {
              proxy.reportRates();
            }
          }
        }
      } catch (IOException | InterruptedException e) {
        // Dials again.
      }
      try {
        sleep(200);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() throws Exception {
    closed = true;
    if (assigner != null) {
      if (!assigner.isAlive()) {
        log("assigner had ended with exit code %d", assigner.exitValue());
      }
      assigner.destroyForcibly().waitFor();
    }
    Path logFile = work.resolve("assigner.log");
    synchronized (record) {
      if (Files.exists(logFile)) {
        record.write("\nThe assigner's log:\n");
        record.write(Files.readString(logFile));
      }
      record.close();
    }
  }

  /** The body of a case; returns the exit code. */
  interface Body {
    int run() throws Exception;
  }

  /** Runs a case: exits with its code, or with 2 if it could not run. */
  static void main(Body body) {
    int code;
    Thread watchdog =
        daemon(
            () -> {
              try {
                sleep(112_000);
              } catch (InterruptedException e) {
                return;
              }
              System.out.println("NOT RUN: over the time limit");
              System.exit(2);
            });
    watchdog.start();
    try {
      code = body.run();
    } catch (Throwable e) {
      System.out.println("NOT RUN " + e);
      e.printStackTrace(System.out);
      code = 2;
    }
    System.out.flush();
    Runtime.getRuntime().halt(code);
  }
}

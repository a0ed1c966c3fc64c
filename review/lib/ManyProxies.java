package review;

import java.util.ArrayList;
import java.util.List;

/** One of two assigners is killed; all proxies come to the other; some tasks drain meanwhile. */
final class ManyProxies extends FleetCase {
  ManyProxies(String[] args) throws Exception {
    super(args);
  }

  @Override
  void play() throws Exception {
    zones = List.of("nydalen", "ulven", "helsfyr", "lysaker");
    classes = List.of("read", "write");
    proxyCount = 224;
    assignerCount = 2;
    sockets = 256;
    standing = 10;
    graceS = 1.5;
    coldS = 14;
    head = 6;
    pushRate = 8_500;
    backlog = 2 * proxyCount * (head + 4 + 2 * standing);
    lateMinMs = 150;
    lateMaxMs = 470;
    redialMinMs = 520;
    redialMaxMs = 1_900;
    requestsPerSecond = 1.5;
    for (int k = 0; k < 40; k++) {
      addTask("s-" + k, zones.get(k % 4), 0);
    }
    for (int k = 0; k < 2; k++) {
      addAssigner();
      startAssigner(assigners.get(k), list.listed(), list.seq());
    }
    startFleet();
    Threads.sleep(15_000);
    tellJoined();
    for (int round = 0; round < 2; round++) {
      Assigner killed = assigners.get(round % 2);
      List<TaskList.Entry> known = list.listed();
      long seq = list.seq();
      if (trouble) {
        record.note("SIGKILL to assigner " + killed.index);
        killAssigner(killed);
      }
      Threads.sleep(3_500);
      tellJoined();
      List<String> away = new ArrayList<>();
      for (int k = 0; k < 4; k++) {
        away.add("s-" + (round * 4 + k));
      }
      list.setHealth(away, "Terminating");
      record.note("4 of 40 tasks drain: " + away);
      Threads.sleep(3_500);
      if (trouble) {
        startAssigner(killed, known, seq);
      }
      away.forEach(host -> list.setHealth(host, "Gone"));
      record.note("they are gone");
      for (String host : away) {
        tasks.stop(host);
      }
      Threads.sleep(10_000);
      tellJoined();
      for (int k = 0; k < 4; k++) {
        addTask("t-" + (round * 4 + k), zones.get(k), System.currentTimeMillis());
      }
      Threads.sleep(4_000);
    }
  }

  private void tellJoined() {
    long taken = proxies.stream().filter(p -> p.isJoined() && !p.refused).count();
    record.note(taken + " of " + proxyCount + " proxies are joined, " + refusals.get() + " dials were not taken so far");
    for (Assigner a : assigners) {
      if (a.serving) {
        try (var fds = java.nio.file.Files.list(java.nio.file.Path.of("/proc/" + a.process.pid() + "/fd"))) {
          record.note("assigner " + a.index + " holds " + fds.count() + " of " + sockets + " descriptors");
        } catch (java.io.IOException e) {
          record.note("descriptors of assigner " + a.index + " can't be read: " + e);
        }
      }
    }
  }

  public static void main(String[] args) throws Exception {
    System.exit(new ManyProxies(args).run());
  }
}

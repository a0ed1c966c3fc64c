package review;

import java.util.ArrayList;
import java.util.List;

/** Discovery is down for some seconds; once it is up again, a task begins to drain. */
final class DrainAfterOutage extends Case {
  DrainAfterOutage(String[] args) throws Exception {
    super(args);
  }

  @Override
  void play() throws Exception {
    long begun = System.nanoTime();
    proxyCount = 8;
    graceS = 1.5;
    requestsPerSecond = 6;
    coldS = 14;
    discovery.callMillis = 1_800;
    int next = 0;
    List<String> ready = new ArrayList<>();
    for (; next < 9; next++) {
      addTask("s-" + next, zones.get(next % 3), 0);
      ready.add("s-" + next);
    }
    startAssigner(list.listed(), list.seq());
    startFleet();
    Threads.sleep(5_000);
    for (int round = 0; round < 6 && (System.nanoTime() - begun) / 1e9 < 98; round++) {
      if (trouble) {
        int before = discovery.refusedCalls();
        discovery.goDown();
        long deadline = System.nanoTime() + 9_000_000_000L;
        while (discovery.refusedCalls() < before + 3 && System.nanoTime() < deadline) {
          Threads.sleep(10);
        }
        discovery.comeUp();
      } else {
        Threads.sleep(7_000);
      }
      String host = ready.remove(0);
      list.setHealth(host, "Terminating");
      record.note(host + " drains");
      Threads.sleep(6_000);
      list.setHealth(host, "Gone");
      tasks.stop(host);
      record.note(host + " is gone");
      Threads.sleep(3_000);
      addTask("s-" + next, zones.get(next % 3), System.currentTimeMillis());
      ready.add("s-" + next++);
      Threads.sleep(500);
    }
  }

  public static void main(String[] args) throws Exception {
    System.exit(new DrainAfterOutage(args).run());
  }
}

package review;

import java.util.List;

/** The assigner is restarted while no task is listed yet; then the tasks come up. */
final class BringUp extends Case {
  BringUp(String[] args) throws Exception {
    super(args);
  }

  @Override
  void play() throws Exception {
    proxyCount = 8;
    coldS = 6;
    startAssigner(List.of(), list.seq());
    startFleet();
    checkBare();
    Threads.sleep(6_000);
    if (trouble) {
      stopAssigner();
      Threads.sleep(1_000);
      startAssigner(list.listed(), list.seq());
    }
    Threads.sleep(5_000);
    for (int k = 0; k < 6; k++) {
      addTask("s-" + k, zones.get(k % 3), System.currentTimeMillis());
    }
    record.note("6 tasks are listed as ready");
    Threads.sleep((long) (1000 * (coldS + emptyForS)) + 20_000);
    record.note("proxies with a line for each class: "
        + proxies.stream().filter(p -> classes.stream().noneMatch(n -> p.lines(n).isEmpty())).count() + " of " + proxyCount);
  }

  public static void main(String[] args) throws Exception {
    System.exit(new BringUp(args).run());
  }
}

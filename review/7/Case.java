import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * An assigner starts for the first time, so that it never had a list, while discovery is down. The
 * proxies are new too and hold their standing tables; all tasks work the whole time.
 */
final class Case {
  private static final int TASKS = 18;
  private static final int PROXIES = 12;

  public static void main(String[] arguments) {
    Rig.main(
        () -> {
          try (Rig rig = new Rig(Path.of(arguments[0]))) {
            return run(rig);
          }
        });
  }

  private static int run(Rig rig) throws Exception {
    List<Rig.Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      tasks.add(rig.discovery.add("s-" + i, rig.zones.get(i % 3)));
    }
    rig.known = "{\"seq\":0,\"whole\":true,\"hosts\":[]}";
    if (Rig.TROUBLE) {
      rig.discovery.goDown();
    }
    rig.startAssigner();
    // What discovery has to tell counts as told 6 s later, whether or not it arrived.
    tasks.forEach(task -> task.toldAt = Rig.now() + 6000);
    for (int id = 0; id < PROXIES; id++) {
      Rig.Proxy proxy = rig.addProxy(id, rig.zones.get(id % 3), 5);
      List<Rig.Task> own = new ArrayList<>(tasks);
      own.removeIf(task -> !task.site.equals(proxy.site));
      Collections.shuffle(own, rig.random);
      proxy.hold(own.subList(0, 5), false);
      proxy.dial(200 + 50 * id);
    }
    rig.startTraffic();
    Rig.sleep(16_000);
    if (Rig.TROUBLE) {
      rig.discovery.comeBack();
    }
    Rig.sleep(8_000);
    return rig.verdict();
  }
}

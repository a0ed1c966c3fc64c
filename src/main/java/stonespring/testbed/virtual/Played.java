package stonespring.testbed.virtual;

import java.util.List;

/**
 * What became of a load under one policy. Simulated tasks.
 *
 * @param windows spans of {@link #WINDOW} each, by when ops were first asked for
 * @param connections opened all day
 * @param lines table lines changed at proxies, the first tables' too
 * @param crossings share of tries that went to another zone
 * @param coldWorst the highest share of the fall limit that a cold task was sent
 * @param bare seconds, all proxies together, in which a proxy had no line at all
 * @param plans made by the solver, 0 without one
 */
public record Played(
    Policy policy,
    long seed,
    List<Window> windows,
    long connections,
    long lines,
    double crossings,
    double coldWorst,
    double bare,
    long plans) {
  public static final long WINDOW = 50_000; // 0.1 ms

  /** Benefit asked for and answered in time, and ops asked for, rejected at once, given up. */
  public record Window(double asked, double inTime, long ops, long rejected, long gaveUp) {}

  /** Benefit answered within the target latency over the benefit asked for. */
  public double service() {
    double asked = windows.stream().mapToDouble(Window::asked).sum();
    return asked == 0 ? 1 : windows.stream().mapToDouble(Window::inTime).sum() / asked;
  }
}

package stonespring.solver;

import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;

/**
 * Weights that the fleet should have, and why.
 *
 * @param cost ops lost a second by lateness, crossings and bad tries, if all goes as told
 * @param lowerBound what any plan loses at least, with no limit of lines
 * @param unplaced ops a second for which no task may be used
 * @param newLines lines that no proxy held
 * @param changed lines whose weight differs from the one held, new and dropped ones too
 */
public record Plan(
    List<Table> tables,
    List<Share> shares,
    double cost,
    double lowerBound,
    double unplaced,
    int newLines,
    int changed) {
  /** Why a task gets what it gets. */
  public enum Reason {
    /** One more op would lose as much there as anywhere else. */
    BALANCED,
    /** It has just started, and all proxies together may bring no more. */
    COLD_CAP,
    /** Too many of its tries end badly. */
    UNFIT,
    /**
     * Lines to it don't reach its target yet; those that are missing cost more than they gain so
     * far.
     */
    FEW_LINES
  }

  /** One line: the share of the proxy's ops, and by op type the share of that type's. */
  public record Line(EndpointId task, double weight, double[] byOpType) {}

  public record Table(ProxyId proxy, List<Line> lines) {
    /** The lines as a proxy holds them that follows the plan. */
    public List<Problem.Line> held() {
      return lines.stream().map(l -> new Problem.Line(l.task(), l.weight())).toList();
    }
  }

  /**
   * What one task gets.
   *
   * @param load ops a second by this plan
   * @param target ops a second if lines had no limit and no price
   * @param price ops lost for one more op
   * @param unmet plans in a row in which lines were missing
   */
  public record Share(
      EndpointId task,
      double capacity,
      double load,
      double target,
      double price,
      Reason why,
      int unmet) {}

  /** Share by which the plan is dearer than the bound. */
  public double gap() {
    return lowerBound > 0 ? cost / lowerBound - 1 : 0;
  }
}

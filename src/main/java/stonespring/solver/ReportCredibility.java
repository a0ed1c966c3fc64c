package stonespring.solver;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import stonespring.model.EndpointId;

/**
 * Judges what is said of endpoints' capacity before it counts. No claim lifts an endpoint further
 * above what it is listed with or has proven than one step, and what proxies observed there caps
 * it. A claim three times too high so brings an endpoint at most a quarter of its capacity too
 * much, for about twice the time that reports take to tell of trouble. Instants and durations are
 * in {@link stonespring.model.DeciMillis}, rates are requests per second.
 */
public final class ReportCredibility {
  /** Who says what an endpoint can do. */
  public enum Source {
    /** The endpoint's own load reports. */
    ENDPOINT,
    /** An operator. */
    OPERATOR
  }

  /** Multiple of the listed or proven rate that a claim may raise a capacity to. */
  private static final double MAX_STEP = 1.25;

  /** Least share of attempts that the fleet is taken to succeed with; in any overload some do. */
  private static final double MIN_FLEET_SUCCESS = 0.05;

  /** Factor of the listed capacity while nothing is proven: machines listed alike differ. */
  private static final double UNPROVEN = 0.7;

  /** Ratio of the highest to the lowest claim above which sources disagree. */
  private static final double DISAGREEMENT = 1.5;

  /** Factor of the listed capacity that a ceiling never goes below. */
  private static final double MIN_CEILING = 0.25;

  /** Least force of a claim that counts for the rate per unit of weight. */
  private static final double MIN_FORCE_FOR_UNIT = 0.5;

  /** Capacities at or above it, requests per second, are rejected. */
  private static final double MAX_FIGURE = 1e12;

  /**
   * What an endpoint is trusted with.
   *
   * @param capacity its rate when warm
   * @param claimed the highest claim that counts at all; NaN if there is none
   * @param reason which of the judgements set the figure
   */
  public record Judgement(EndpointId endpoint, double capacity, double claimed, Reason reason) {}

  /** What set a figure. */
  public enum Reason {
    /** The listed weight. */
    LISTED,
    /** The mean of claims, by their force. */
    CLAIMED,
    /** The lowest of claims that are too far apart. */
    SOURCES_DISAGREE,
    /** The highest step above what is listed or proven. */
    ONE_STEP,
    /** What proxies observed. */
    OBSERVED
  }

  private final TreeMap<String, EndpointCredibility> byName = new TreeMap<>();
  private double fleetSuccess = 1;

  private EndpointCredibility of(EndpointId endpoint) {
    return byName.computeIfAbsent(endpoint.name(), name -> new EndpointCredibility());
  }

  private static void require(boolean holds, EndpointId endpoint, String what) {
    if (!holds) {
      throw new IllegalArgumentException("endpoint " + endpoint.name() + ": " + what);
    }
  }

  /**
   * An endpoint is listed.
   *
   * @throws IllegalArgumentException if the weight is not above 0
   */
  public void listed(EndpointId endpoint, double weight) {
    require(weight > 0 && weight < MAX_FIGURE, endpoint, "weight " + weight);
    of(endpoint).setListedWeight(weight);
  }

  /** An endpoint's process started again: it has proven nothing, and nobody was wrong about it. */
  public void restarted(EndpointId endpoint) {
    byName.replace(endpoint.name(), new EndpointCredibility());
  }

  /** An endpoint was removed. */
  public void removed(EndpointId endpoint) {
    byName.remove(endpoint.name());
  }

  /**
   * A source says what an endpoint can do when warm. A claim older than the one held is left out.
   *
   * @throws IllegalArgumentException if the capacity is not above 0
   */
  public void claimed(EndpointId endpoint, Source source, double capacity, long made) {
    require(
        capacity > 0 && capacity < MAX_FIGURE, endpoint, "capacity " + capacity + " by " + source);
    of(endpoint).claim(source).claim(capacity, made);
  }

  /**
   * Sets the share of all attempts in the fleet that fail or are late: an overload of all says
   * nothing of one endpoint.
   */
  public void fleetObserved(double failedOrLateShare) {
    fleetSuccess = Math.max(MIN_FLEET_SUCCESS, 1 - failedOrLateShare);
  }

  /**
   * What proxies observed at an endpoint in an interval.
   *
   * @param failedOrLate attempts that failed or were answered after the latency objective
   * @param otherRate what reaches it besides, from proxies of other instances
   */
  public void observed(
      EndpointId endpoint,
      long attempts,
      double failedOrLate,
      long interval,
      double otherRate,
      long now) {
    of(endpoint).observe(attempts, failedOrLate, interval, otherRate, fleetSuccess, now);
  }

  /**
   * What one unit of listed weight does: the median of claims and proofs, which half of the fleet
   * would have to fake. NaN while nothing tells.
   */
  private double ratePerUnitOfWeight(long now) {
    List<Double> rates = new ArrayList<>();
    for (EndpointCredibility endpoint : byName.values()) {
      double best = endpoint.provenRate();
      for (CapacityClaim claim : endpoint.claims()) {
        if (claim.force(now) > MIN_FORCE_FOR_UNIT) {
          best = Math.max(best, Math.min(claim.capacity(), endpoint.ceiling()));
        }
      }
      if (endpoint.listedWeight() > 0 && best > 0) {
        rates.add(best / endpoint.listedWeight());
      }
    }
    rates.sort(Double::compare);
    // Of two the lower: the other may lie.
    return rates.isEmpty() ? Double.NaN : rates.get((rates.size() - 1) / 2);
  }

  /**
   * What each listed endpoint is trusted with, by name; empty while nothing tells what a unit of
   * weight does.
   */
  public List<Judgement> judge(long now) {
    List<Judgement> judgements = new ArrayList<>();
    double rate = ratePerUnitOfWeight(now);
    byName.forEach(
        (name, endpoint) -> {
          if (endpoint.listedWeight() > 0 && !Double.isNaN(rate)) {
            double byList = rate * endpoint.listedWeight();
            judgements.add(judgeEndpoint(new EndpointId(name), endpoint, byList, now));
          }
        });
    return judgements;
  }

  /** Claims weighed by their force. */
  private static final class WeighedClaims {
    private double forceSum;
    private double weightedSum;
    private double lowest = Double.POSITIVE_INFINITY;
    private double highest;
    private double strongestForce;

    WeighedClaims(EndpointCredibility endpoint, long now) {
      for (CapacityClaim claim : endpoint.claims()) {
        double force = claim.force(now);
        if (force > 0) {
          forceSum += force;
          weightedSum += force * claim.capacity();
          strongestForce = Math.max(strongestForce, force);
          lowest = Math.min(lowest, claim.capacity());
          highest = Math.max(highest, claim.capacity());
        }
      }
    }

    boolean any() {
      return forceSum > 0;
    }

    boolean disagree() {
      return highest > DISAGREEMENT * lowest;
    }

    double capacity() {
      return disagree() ? lowest : weightedSum / forceSum;
    }
  }

  private static Judgement judgeEndpoint(
      EndpointId id, EndpointCredibility endpoint, double byList, long now) {
    WeighedClaims claims = new WeighedClaims(endpoint, now);
    Reason reason = Reason.LISTED;
    double capacity = byList * (endpoint.provenRate() > 0 ? 1 : UNPROVEN);
    if (claims.any()) {
      capacity = byList + claims.strongestForce * (claims.capacity() - byList);
      reason = claims.disagree() ? Reason.SOURCES_DISAGREE : Reason.CLAIMED;
    }
    double highestStep = MAX_STEP * Math.max(byList, endpoint.provenRate());
    if (capacity > highestStep) {
      capacity = highestStep;
      reason = Reason.ONE_STEP;
    }
    double ceiling = Math.max(endpoint.ceiling(), MIN_CEILING * byList);
    if (capacity > ceiling) {
      capacity = ceiling;
      reason = Reason.OBSERVED;
    }
    return new Judgement(id, capacity, claims.highest > 0 ? claims.highest : Double.NaN, reason);
  }
}

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
  private static final double MAX_STEP_FACTOR = 1.25;

  /** Least share of attempts that the fleet is taken to succeed with; in any overload some do. */
  private static final double MIN_FLEET_SUCCESS_SHARE = 0.05;

  /** Factor of the listed capacity while nothing is proven: machines listed alike differ. */
  private static final double UNPROVEN_FACTOR = 0.7;

  /** Ratio of the highest to the lowest claim above which sources disagree. */
  private static final double MAX_CLAIM_RATIO = 1.5;

  /** Factor of the listed capacity that a ceiling never goes below. */
  private static final double MIN_CEILING_FACTOR = 0.25;

  /** Least force of a claim that counts for the rate per unit of weight. */
  private static final double MIN_CONFIDENCE_FOR_UNIT_RATE = 0.5;

  /** Capacities at or above it, requests per second, are rejected. */
  private static final double VALUE_LIMIT = 1e12;

  /**
   * What an endpoint is trusted with.
   *
   * @param capacity its rate when warm
   * @param claimed the highest claim that counts at all; NaN if there is none
   * @param reason which of the judgements set the figure
   */
  public record CapacityEstimate(
      EndpointId endpoint, double capacity, double claimed, Reason reason) {}

  /** What set a figure. */
  public enum Reason {
    /** The listed weight. */
    LISTED,
    /** The mean of claims, by their force. */
    CLAIMED,
    /** The lowest of claims that are too far apart. */
    SOURCES_DISAGREE,
    /** The highest step above what is listed or proven. */
    STEP_LIMIT,
    /** What proxies observed. */
    OBSERVED_CEILING
  }

  private final TreeMap<String, EndpointCredibility> endpointsByName = new TreeMap<>();
  private double fleetSuccessShare = 1;

  private EndpointCredibility credibilityOf(EndpointId endpoint) {
    return endpointsByName.computeIfAbsent(endpoint.name(), name -> new EndpointCredibility());
  }

  private static void require(boolean condition, EndpointId endpoint, String message) {
    if (!condition) {
      throw new IllegalArgumentException("endpoint " + endpoint.name() + ": " + message);
    }
  }

  /**
   * An endpoint is listed.
   *
   * @throws IllegalArgumentException if the weight is not above 0
   */
  public void setListedWeight(EndpointId endpoint, double weight) {
    require(weight > 0 && weight < VALUE_LIMIT, endpoint, "weight " + weight);
    credibilityOf(endpoint).setListedWeight(weight);
  }

  /** An endpoint's process started again: it has proven nothing, and nobody was wrong about it. */
  public void reset(EndpointId endpoint) {
    endpointsByName.replace(endpoint.name(), new EndpointCredibility());
  }

  /** An endpoint was removed. */
  public void remove(EndpointId endpoint) {
    endpointsByName.remove(endpoint.name());
  }

  /**
   * A source says what an endpoint can do when warm. A claim older than the one held is left out.
   *
   * @throws IllegalArgumentException if the capacity is not above 0
   */
  public void recordClaim(EndpointId endpoint, Source source, double capacity, long claimedAt) {
    require(
        capacity > 0 && capacity < VALUE_LIMIT, endpoint, "capacity " + capacity + " by " + source);
    credibilityOf(endpoint).claim(source).update(capacity, claimedAt);
  }

  /**
   * Sets the share of all attempts in the fleet that fail or are late: an overload of all says
   * nothing of one endpoint.
   */
  public void setFleetFailureShare(double failedOrLateShare) {
    fleetSuccessShare = Math.max(MIN_FLEET_SUCCESS_SHARE, 1 - failedOrLateShare);
  }

  /**
   * What proxies observed at an endpoint in an interval.
   *
   * @param failedOrLate attempts that failed or were answered after the latency objective
   * @param otherInstancesRate what reaches it besides, from proxies of other instances
   */
  public void recordOutcomes(
      EndpointId endpoint,
      long attempts,
      double failedOrLate,
      long intervalDeciMillis,
      double otherInstancesRate,
      long now) {
    credibilityOf(endpoint)
        .recordOutcomes(
            attempts, failedOrLate, intervalDeciMillis, otherInstancesRate, fleetSuccessShare, now);
  }

  /**
   * What one unit of listed weight does: the median of claims and proofs, which half of the fleet
   * would have to fake. NaN while nothing tells.
   */
  private double ratePerUnitOfWeight(long now) {
    List<Double> rates = new ArrayList<>();
    for (EndpointCredibility endpoint : endpointsByName.values()) {
      double best = endpoint.provenRate();
      for (CapacityClaim claim : endpoint.claims()) {
        if (claim.confidence(now) > MIN_CONFIDENCE_FOR_UNIT_RATE) {
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
  public List<CapacityEstimate> estimateCapacities(long now) {
    List<CapacityEstimate> estimates = new ArrayList<>();
    double rate = ratePerUnitOfWeight(now);
    endpointsByName.forEach(
        (name, endpoint) -> {
          if (endpoint.listedWeight() > 0 && !Double.isNaN(rate)) {
            double listedCapacity = rate * endpoint.listedWeight();
            estimates.add(estimateCapacity(new EndpointId(name), endpoint, listedCapacity, now));
          }
        });
    return estimates;
  }

  /** Claims weighed by their force. */
  private static final class WeightedClaims {
    private double confidenceSum;
    private double weightedSum;
    private double lowest = Double.POSITIVE_INFINITY;
    private double highest;
    private double highestConfidence;

    WeightedClaims(EndpointCredibility endpoint, long now) {
      for (CapacityClaim claim : endpoint.claims()) {
        double confidence = claim.confidence(now);
        if (confidence > 0) {
          confidenceSum += confidence;
          weightedSum += confidence * claim.capacity();
          highestConfidence = Math.max(highestConfidence, confidence);
          lowest = Math.min(lowest, claim.capacity());
          highest = Math.max(highest, claim.capacity());
        }
      }
    }

    boolean any() {
      return confidenceSum > 0;
    }

    boolean disagree() {
      return highest > MAX_CLAIM_RATIO * lowest;
    }

    double capacity() {
      return disagree() ? lowest : weightedSum / confidenceSum;
    }
  }

  private static CapacityEstimate estimateCapacity(
      EndpointId id, EndpointCredibility endpoint, double listedCapacity, long now) {
    WeightedClaims claims = new WeightedClaims(endpoint, now);
    Reason reason = Reason.LISTED;
    double capacity = listedCapacity * (endpoint.provenRate() > 0 ? 1 : UNPROVEN_FACTOR);
    if (claims.any()) {
      capacity = listedCapacity + claims.highestConfidence * (claims.capacity() - listedCapacity);
      reason = claims.disagree() ? Reason.SOURCES_DISAGREE : Reason.CLAIMED;
    }
    double stepLimit = MAX_STEP_FACTOR * Math.max(listedCapacity, endpoint.provenRate());
    if (capacity > stepLimit) {
      capacity = stepLimit;
      reason = Reason.STEP_LIMIT;
    }
    double ceiling = Math.max(endpoint.ceiling(), MIN_CEILING_FACTOR * listedCapacity);
    if (capacity > ceiling) {
      capacity = ceiling;
      reason = Reason.OBSERVED_CEILING;
    }
    return new CapacityEstimate(
        id, capacity, claims.highest > 0 ? claims.highest : Double.NaN, reason);
  }
}

package stonespring.solver;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Supplier;
import stonespring.model.EndpointId;

/**
 * Estimates how much load endpoints can be trusted with, from listed weights, claims about their
 * capacity, and what proxies observed. No claim raises an estimate more than one step above what is
 * listed or proven, and observations cap it. So a claim of three times the true capacity sends an
 * endpoint at most a quarter of its capacity too much, for about twice the delay of reports.
 *
 * <p>Instants and durations are in {@link stonespring.model.DeciMillis}, rates are requests per
 * second.
 */
public final class ReportCredibility {
  /** Source of a claim about an endpoint's capacity. */
  public enum Source {
    /** The endpoint's own load reports. */
    ENDPOINT,
    /** A statement of an operator; only tests currently record such claims. */
    OPERATOR
  }

  /**
   * Maximum ratio of an estimate to the listed or proven rate; more than the noise of reports, and
   * a burst of that size does little harm.
   */
  private static final double MAX_STEP_FACTOR = 1.25;

  /** Minimum assumed share of the fleet's attempts that succeed; some do in any overload. */
  private static final double MIN_FLEET_SUCCESS_SHARE = 0.05;

  /**
   * Factor applied to the listed capacity while nothing is proven, because machines with the same
   * weight differ by about that much.
   */
  private static final double UNPROVEN_FACTOR = 0.7;

  /**
   * Ratio of the highest to the lowest claim above which the sources disagree: not all of the
   * claims can be right.
   */
  private static final double MAX_CLAIM_RATIO = 1.5;

  /**
   * Minimum ceiling, as a factor of the listed capacity: under overload, observed successes
   * understate the capacity.
   */
  private static final double MIN_CEILING_FACTOR = 0.25;

  /** Minimum confidence for a claim to count towards the rate per unit of weight. */
  private static final double MIN_CONFIDENCE_FOR_UNIT_RATE = 0.5;

  /** Exclusive upper limit for weights and capacities. */
  private static final double VALUE_LIMIT = 1e12;

  /**
   * The capacity that an endpoint is trusted with.
   *
   * @param capacity rate that it can serve when warm, requests per second
   * @param claimed highest claim that is not ignored; NaN if there is none
   * @param reason what determined the capacity
   */
  public record CapacityEstimate(
      EndpointId endpoint, double capacity, double claimed, Reason reason) {}

  /** What determined an estimate. */
  public enum Reason {
    /** The listed weight. */
    LISTED,
    /** The mean of the claims, weighted by confidence. */
    CLAIMED,
    /** The lowest claim, because the claims differ too much. */
    SOURCES_DISAGREE,
    /** The maximum step above what is listed or proven. */
    STEP_LIMIT,
    /** The ceiling that follows from what proxies observed. */
    OBSERVED_CEILING
  }

  private final TreeMap<String, EndpointCredibility> endpointsByName = new TreeMap<>();
  private double fleetSuccessShare = 1;

  private EndpointCredibility credibilityOf(EndpointId endpoint) {
    return endpointsByName.computeIfAbsent(endpoint.name(), name -> new EndpointCredibility());
  }

  private static void require(boolean condition, EndpointId endpoint, Supplier<String> message) {
    if (!condition) {
      throw new IllegalArgumentException("endpoint " + endpoint.name() + ": " + message.get());
    }
  }

  /**
   * Sets the weight that an endpoint is listed with.
   *
   * @throws IllegalArgumentException if the weight is not above 0 or is too large
   */
  public void setListedWeight(EndpointId endpoint, double weight) {
    require(
        weight > 0 && weight < VALUE_LIMIT,
        endpoint,
        () -> "listed weight must be above 0 and below " + VALUE_LIMIT + ", but is " + weight);
    credibilityOf(endpoint).setListedWeight(weight);
  }

  /**
   * Discards what is known of an endpoint whose process restarted: its proven rate, claims and
   * listed weight, and the sources' loss of credit.
   */
  public void reset(EndpointId endpoint) {
    endpointsByName.replace(endpoint.name(), new EndpointCredibility());
  }

  /** Forgets an endpoint that was removed from the list. */
  public void remove(EndpointId endpoint) {
    endpointsByName.remove(endpoint.name());
  }

  /**
   * Records a source's claim about the capacity of an endpoint when warm. The claim is ignored
   * unless it is more recent than the source's current one.
   *
   * @param claimedAt instant of the claim
   * @throws IllegalArgumentException if the capacity is not above 0 or is too large
   */
  public void recordClaim(EndpointId endpoint, Source source, double capacity, long claimedAt) {
    require(
        capacity > 0 && capacity < VALUE_LIMIT,
        endpoint,
        () ->
            "capacity claimed by "
                + source
                + " must be above 0 and below "
                + VALUE_LIMIT
                + ", but is "
                + capacity);
    credibilityOf(endpoint).claim(source).update(capacity, claimedAt);
  }

  /**
   * Sets the share of all attempts in the fleet that fail or are late. An overload of the whole
   * fleet says nothing about one endpoint, so an endpoint is compared with this share.
   */
  public void setFleetFailureShare(double failedOrLateShare) {
    fleetSuccessShare = Math.max(MIN_FLEET_SUCCESS_SHARE, 1 - failedOrLateShare);
  }

  /**
   * Records what proxies observed at an endpoint in an interval.
   *
   * @param failedOrLate attempts that failed or were answered after the latency objective
   * @param otherInstancesRate rate that reaches the endpoint from proxies of other instances
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
   * Returns the requests per second that one unit of listed weight stands for: the median over
   * endpoints of the highest credible claim or proven rate. Half of the fleet would have to make
   * false claims to shift it. NaN while nothing is known.
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
    // With an even number of endpoints the lower middle one, as the higher may be a false claim.
    return rates.isEmpty() ? Double.NaN : rates.get((rates.size() - 1) / 2);
  }

  /**
   * Returns the estimate for each listed endpoint, by name; empty while the rate per unit of weight
   * is unknown.
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

  /** An endpoint's claims, weighted by confidence. */
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

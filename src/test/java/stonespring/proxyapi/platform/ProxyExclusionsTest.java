package stonespring.proxyapi.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import stonespring.model.EndpointId;

final class ProxyExclusionsTest {
  private static final EndpointId ENDPOINT = new EndpointId("s-1");
  private final Set<EndpointId> excludedBefore = new HashSet<>();

  private static ExclusionChanges apply(ProxyExclusions exclusions, boolean exclude) {
    ExclusionChanges changes = new ExclusionChanges();
    changes.add(ENDPOINT, exclude);
    exclusions.apply(changes);
    return changes;
  }

  @Test
  void dropsChangesThatProxyAlreadyHolds() {
    ProxyExclusions exclusions = new ProxyExclusions(excludedBefore, false);
    assertEquals(0, apply(exclusions, false).size(), "nothing is excluded yet");
    assertEquals(1, apply(exclusions, true).size());
    assertEquals(0, apply(exclusions, true).size());
    assertEquals(1, apply(exclusions, false).size());
    assertEquals(Set.of(), excludedBefore);
  }

  @Test
  void keepsExclusionsInNextSession() {
    apply(new ProxyExclusions(excludedBefore, false), true);
    ProxyExclusions nextSession = new ProxyExclusions(excludedBefore, false);
    assertEquals(0, apply(nextSession, true).size());
    assertEquals(1, apply(nextSession, false).size());
  }

  @Test
  void sendsExclusionOnceWhenOtherInstanceMayHaveChangedIt() {
    excludedBefore.add(ENDPOINT);
    ProxyExclusions exclusions = new ProxyExclusions(excludedBefore, true);
    assertEquals(List.of(ENDPOINT), List.copyOf(apply(exclusions, true).excluded()));
    assertEquals(0, apply(exclusions, true).size());
    EndpointId other = new EndpointId("s-2");
    ExclusionChanges allow = new ExclusionChanges();
    allow.add(other, false);
    exclusions.apply(allow);
    assertEquals(List.of(other), List.copyOf(allow.allowed()));
  }
}

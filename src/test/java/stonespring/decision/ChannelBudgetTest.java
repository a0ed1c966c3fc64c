package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.SECOND;

import java.util.Map;
import org.junit.jupiter.api.Test;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointRecord;

/** Tests that routine updates leave part of the channel's capacity to urgent ones. */
final class ChannelBudgetTest {
  @Test
  void reservesMessagesForUrgentUpdates() {
    Fleet fleet = Fleet.create(8, 4);
    for (int i = 0; i < 100; i++) {
      fleet.report(0.03 + (i % 7) / 100.0, Map.of("t" + i % 8, 0.9));
      fleet.step(SECOND);
      fleet.checkInvariants("round " + i);
      for (FleetProxy p : fleet.proxies.values()) {
        assertTrue(
            p.messagesSentAt.size() <= 20,
            "routine messages in the window: " + p.messagesSentAt.size() + ", expected at most 20");
      }
    }
  }

  @Test
  void reservesBacklogForDrains() {
    Fleet fleet =
        Fleet.create(
            new FleetSettings()
                .limitKind(AdmissionLimitKind.NONE)
                .maxMessages(0)
                .channel(300, 60)
                .build(),
            8,
            8);
    for (int i = 0; i < 40; i++) {
      fleet.report(0.03, Map.of("t" + i / 3 % 8, 0.9));
      fleet.step(SECOND);
      assertTrue(
          fleet.backlog < 0.5 * 300,
          "round " + i + ": backlog of " + fleet.backlog + " entries, limit 300");
    }
    fleet.updateEndpoint("t0", 0, EndpointRecord.State.REMOVED, 0);
    fleet.step(1);
    assertEquals(0, fleet.load("t0"));
  }

  /**
   * The channel delivers one message per second, far less than configured and than assumed without
   * acknowledgements.
   */
  @Test
  void stopsRoutineUpdatesWhileAcknowledgementsLag() {
    Fleet fleet =
        Fleet.create(
            new FleetSettings()
                .limitKind(AdmissionLimitKind.NONE)
                .maxMessages(0)
                .channel(300, 600)
                .build(),
            8,
            8);
    for (int i = 0; i < 60; i++) {
      if (!fleet.acknowledgements.isEmpty()) {
        fleet.events.add(fleet.acknowledgements.remove(0));
      }
      fleet.report(0.03, Map.of("t" + i / 3 % 8, 0.9));
      fleet.step(SECOND);
      assertTrue(
          fleet.acknowledgements.size() * 12 < 300,
          "round "
              + i
              + ": "
              + fleet.acknowledgements.size()
              + " messages not acknowledged, at about 12 entries each");
    }
  }
}

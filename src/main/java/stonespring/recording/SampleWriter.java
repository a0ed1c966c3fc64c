package stonespring.recording;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Encodes each sample as a JSON array of its kind, its instant and its other values. */
final class SampleWriter {
  private SampleWriter() {}

  static ArrayNode encode(LoadSample sample) {
    ArrayNode row = JsonNodeFactory.instance.arrayNode();
    if (sample instanceof LoadSample.Arrivals arrivals) {
      row.add(SampleWords.ARRIVALS).add(arrivals.at()).add(arrivals.proxy());
      for (int requests : arrivals.requests()) {
        row.add(requests);
      }
    } else if (sample instanceof LoadSample.EndpointListed listed) {
      row.add(SampleWords.ENDPOINT_LISTED)
          .add(listed.at())
          .add(listed.endpoint())
          .add(listed.zone())
          .add(listed.weight())
          .add(SampleWords.wordOf(listed.state()))
          .add(listed.startedAt());
    } else if (sample instanceof LoadSample.ProcessChanged process) {
      row.add(SampleWords.PROCESS_CHANGED)
          .add(process.at())
          .add(process.endpoint())
          .add(process.zone())
          .add(process.cores())
          .add(process.speed())
          .add(process.warmingUp());
    } else if (sample instanceof LoadSample.CapacityClaimed claim) {
      row.add(SampleWords.CAPACITY_CLAIMED)
          .add(claim.at())
          .add(claim.endpoint())
          .add(claim.multiple());
    } else if (sample instanceof LoadSample.ReportsDelayed reports) {
      row.add(SampleWords.REPORTS_DELAYED).add(reports.at()).add(reports.delay());
    }
    return row;
  }
}

package stonespring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import stonespring.testbed.virtual.ComparisonRow;
import stonespring.testbed.virtual.ConfidenceInterval;
import stonespring.testbed.virtual.Policy;

/** Tests names and order of the fields in the output of {@code compare --json}. */
final class ComparisonJsonTest {
  @Test
  void printsEachValueUnderItsFieldName() throws Exception {
    ComparisonRow row =
        new ComparisonRow(
            "surge-1",
            Policy.EVEN,
            new ConfidenceInterval(1, 2, 3),
            new ConfidenceInterval(4, 5, 6),
            7,
            new ComparisonRow.Averages(8, 9, 10, 11),
            12);

    assertEquals(
        "{'load':'surge-1','policy':'EVEN',"
            + "'service':{'mean':1.0,'low':2.0,'high':3.0},"
            + "'against':{'mean':4.0,'low':5.0,'high':6.0},"
            + "'worstWindow':7.0,'connections':8.0,'lines':9.0,'crossings':10.0,"
            + "'coldWorst':12.0,'bareSeconds':11.0}",
        new ObjectMapper().writeValueAsString(ComparisonJson.of(row)).replace('"', '\''));
  }
}

package stonespring.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests replies and errors of the simulator protocol; inputs are written with single quotes, which
 * are replaced by double ones.
 */
final class SimulatorHostTest {
  private static final String SETTINGS =
      "{'zones':['west'],'categories':[{'name':'look','repeat':'free','goalTimeS':0.4,'gain':1}],"
          + "'familyInfo':{'proxyCount':2,'backlog':100,'pushRate':50,'reportEveryS':0.5,"
          + "'levelKind':'share','perMessage':5,'emptyForS':5,'bootstrap':3},"
          + "'rules':{'coldS':10,'coldShare':0.2,'fallMultiple':3},"
          + "'balancers':1,'discovery':'push','prices':{}}";
  private static final String START = "['boot',7," + SETTINGS + "]";

  private static String reply(String input) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    byte[] bytes = input.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    new SimulatorHost().run(new ByteArrayInputStream(bytes), output);
    return output.toString(StandardCharsets.UTF_8);
  }

  private static String batch(String messages) {
    return "{'tS':1,'seq':4,'parts':[{'i':3,'msgs':[" + messages + "]}]}\n";
  }

  private static void assertRejected(String input, String expectedMessage) {
    SimulatorProtocolException e =
        assertThrows(SimulatorProtocolException.class, () -> reply(input));
    assertEquals(expectedMessage, e.getMessage());
  }

  @Test
  void repliesWithoutCommandsToABatchWithoutMessages() throws IOException {
    assertEquals("{\"seq\":4,\"parts\":[]}\n", reply("{'tS':1,'seq':4,'parts':[]}\n"));
  }

  @Test
  void repliesWithoutCommandsForAStoppedInstance() throws IOException {
    assertEquals("{\"seq\":4,\"parts\":[]}\n", reply(batch(START + ",['down']")));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "[]|batch: expected START_OBJECT, found START_ARRAY",
        "{'tS':1,'seq':4}|batch: expected numbers from 0 in the fields 'tS' and 'seq' and the field 'parts'; at least one of them is missing or negative",
        "{'tS':'x','seq':4}|field 'tS': expected a number, found \"x\"",
        "{'seq':4,'parts':[]}|batch: expected field 'tS' before 'parts'; it is missing, negative or comes later",
        "{'tS':1,'seq':4,'parts':3}|field 'parts': expected START_ARRAY, found VALUE_NUMBER_INT",
        "{'tS':1,'seq':4,'parts':[{'msgs':[]}]}|element of 'parts': expected field 'i' before 'msgs'; it is missing, negative or comes later",
        "{'tS':1,'seq':4,'parts':[]} 5|batch: expected the end of the line after the batch, found another JSON value",
      })
  void rejectsAMalformedBatch(String line, String expectedMessage) {
    assertRejected(line + "\n", expectedMessage);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "[5]|field 'msgs': expected a message that starts with its name, found [5]",
        "['guess']|message name: expected a name of the protocol, found 'guess'",
        "['disconnected']|message 'disconnected': field 'clientLb': expected a value, found none",
        "['disconnected',-1]|message 'disconnected': field 'clientLb': expected an integer of at least 0, found -1",
        "['disconnected',65536]|message 'disconnected': field 'clientLb': expected at most 65535, found 65536",
        "['joined',1,'east',2,true]|message 'joined': field 'regionPart': expected a zone of the settings, found 'east'",
        "['joined',1,'west',2,1]|message 'joined': field 'yes': expected true or false, found 1",
        "['traffic',1,'buy',1,0,1]|message 'traffic': field 'class': expected a request class of the settings, found 'buy'",
        "['ledgerLine',1,'a','b']|message 'ledgerLine': field 'w': expected a number, found \"b\"",
        "['heard',1,'0x']|message 'heard': field 'data': expected pairs of hexadecimal digits, found other text",
        "['endpoints',0,'whole']|message 'endpoints': field 'setId': expected the number of a list sent earlier, found 0",
        "['endpoints',0,'new']|message 'endpoints': field 'mode': expected a value of the protocol, found 'new'",
        "['ledger',16,[]]|message 'ledger': field 'membersList': expected an array, and a list number of at most 15, found another type or a greater number",
      })
  void errorNamesMessageAndFieldWhenAMessageIsInvalid(String message, String expectedMessage) {
    assertRejected(batch(START + "," + message), expectedMessage);
  }

  @Test
  void rejectsAnEventForAnInstanceThatHasNotStarted() {
    assertRejected(
        batch("['alarm',1]"), "message 'alarm': the instance has not received 'boot' yet");
  }

  @Test
  void errorNamesTheFieldWhenSettingsAreInvalid() {
    assertRejected(
        batch(START.replace("'balancers':1", "'balancers':0")),
        "message 'boot': field 'balancers' must be at least 1, got 0");
  }
}

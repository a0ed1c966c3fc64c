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
 * Tests replies and errors of the simulator protocol; inputs have single quotes for double ones.
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
        "[]|the batch is not well-formed: START_ARRAY",
        "{'tS':1,'seq':4}|the batch lacks one of its fields 'tS', 'seq' and 'parts'",
        "{'tS':'x','seq':4}|field 'tS' is not a number: \"x\"",
        "{'seq':4,'parts':[]}|the batch's field 'tS' is missing or stands after 'parts'",
        "{'tS':1,'seq':4,'parts':3}|field 'parts' is not well-formed: VALUE_NUMBER_INT",
        "{'tS':1,'seq':4,'parts':[{'msgs':[]}]}|field 'i' is missing or stands after 'msgs'",
        "{'tS':1,'seq':4,'parts':[]} 5|a line holds more than one value",
      })
  void rejectsAMalformedBatch(String line, String expectedMessage) {
    assertRejected(line + "\n", expectedMessage);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "[5]|field 'msgs' holds a message that does not start with a name: [5]",
        "['guess']|message 'guess' is not known",
        "['disconnected']|message 'disconnected': field 'clientLb' is missing",
        "['disconnected',-1]|message 'disconnected': field 'clientLb' is not a whole number: -1",
        "['disconnected',65536]|message 'disconnected': field 'clientLb' is above 65535: 65536",
        "['joined',1,'east',2,true]|message 'joined': field 'regionPart' names no zone of the settings: east",
        "['joined',1,'west',2,1]|message 'joined': field 'yes' is neither true nor false: 1",
        "['traffic',1,'buy',1,0,1]|message 'traffic': field 'class' names no request class of the settings: buy",
        "['ledgerLine',1,'a','b']|message 'ledgerLine': field 'w' is not a number: \"b\"",
        "['heard',1,'0x']|message 'heard': field 'data' is not made of hex digits",
        "['endpoints',0,'whole']|message 'endpoints': field 'setId' names a list that was not sent: 0",
        "['endpoints',0,'new']|message 'endpoints': field 'mode' has an unknown word: new",
        "['ledger',16,[]]|message 'ledger': field 'membersList' is no list, or its number is above 15",
      })
  void errorNamesMessageAndFieldWhenAMessageIsInvalid(String message, String expectedMessage) {
    assertRejected(batch(START + "," + message), expectedMessage);
  }

  @Test
  void rejectsAnEventForAnInstanceThatHasNotStarted() {
    assertRejected(batch("['alarm',1]"), "message 'alarm' came before the instance's 'boot'");
  }

  @Test
  void errorNamesTheFieldWhenSettingsAreInvalid() {
    assertRejected(
        batch(START.replace("'balancers':1", "'balancers':0")),
        "message 'boot': field 'balancers' has none, or too few");
  }
}

package stonespring;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.api.Test;

/** Packages have one job each and make no circles; what decides has no I/O, clock or thread. */
final class ArchitectureTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("stonespring");
  private static final String[] DECIDES = {
    "stonespring.decision..", "stonespring.proxy.routing..", "stonespring.solver.."
  };

  private static void holds(ArchRule rule) {
    rule.check(ALL);
  }

  @Test
  void packagesMakeNoCircles() {
    holds(SlicesRuleDefinition.slices().matching("stonespring.(**)").should().beFreeOfCycles());
  }

  @Test
  void whatDecidesHasNoOutside() {
    holds(
        noClasses()
            .that()
            .resideInAnyPackage(DECIDES)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "java.io..",
                "java.net..",
                "java.nio.file..",
                "java.nio.channels..",
                "java.util.concurrent..",
                "java.time..",
                "io.netty..",
                "org.slf4j..",
                "com.fasterxml..")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Random")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.Thread"));
    holds(
        noClasses()
            .that()
            .resideInAnyPackage(DECIDES)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis"));
  }

  @Test
  void transportKnowsNothingOfTables() {
    holds(
        noClasses()
            .that()
            .resideInAnyPackage(
                "stonespring.zmtp..",
                "stonespring.chp..",
                "stonespring.http..",
                "stonespring.line..",
                "stonespring.netty..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "stonespring.state..",
                "stonespring.model..",
                "stonespring.decision..",
                "stonespring.proxyapi..",
                "stonespring.daemon.."));
  }

  @Test
  void stateKnowsNoFrontAndNoSocket() {
    holds(
        noClasses()
            .that()
            .resideInAnyPackage("stonespring.state..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "stonespring.proxyapi..", "stonespring.zmtp..", "stonespring.chp..", "io.netty.."));
  }

  @Test
  void theInvariantCheckerSharesNoCodeWithWhatDecides() {
    holds(
        noClasses()
            .that()
            .haveSimpleNameStartingWith("InvariantChecker")
            .or()
            .haveSimpleNameStartingWith("WireTap")
            .or()
            .haveSimpleNameStartingWith("Evidence")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "stonespring.decision..",
                "stonespring.state..",
                "stonespring.proxy..",
                "stonespring.daemon..",
                "stonespring.zmtp..",
                "stonespring.chp.."));
  }
}

package stonespring;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.api.Test;

/**
 * Checks the dependencies between packages of the main code: they are free of cycles, and the
 * packages that make routing decisions perform no I/O, read no clock and start no thread. The
 * transport packages do not depend on the application packages, {@code state} depends neither on
 * the proxy API nor on sockets, and the invariant checker shares no code with what it checks.
 */
final class ArchitectureTest {
  private static final JavaClasses MAIN_CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("stonespring");
  private static final String[] DECISION_PACKAGES = {
    "stonespring.decision..", "stonespring.proxy.routing..", "stonespring.solver.."
  };

  private static void check(ArchRule rule) {
    rule.check(MAIN_CLASSES);
  }

  @Test
  void packagesHaveNoCyclicDependencies() {
    check(SlicesRuleDefinition.slices().matching("stonespring.(**)").should().beFreeOfCycles());
  }

  @Test
  void decisionPackagesUseNoIoClockOrThread() {
    check(
        noClasses()
            .that()
            .resideInAnyPackage(DECISION_PACKAGES)
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
    check(
        noClasses()
            .that()
            .resideInAnyPackage(DECISION_PACKAGES)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis"));
  }

  @Test
  void transportPackagesDoNotDependOnApplicationPackages() {
    check(
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
  void statePackageDoesNotDependOnProxyApiOrSockets() {
    check(
        noClasses()
            .that()
            .resideInAnyPackage("stonespring.state..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "stonespring.proxyapi..", "stonespring.zmtp..", "stonespring.chp..", "io.netty.."));
  }

  @Test
  void invariantCheckerDoesNotDependOnCheckedCode() {
    check(
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

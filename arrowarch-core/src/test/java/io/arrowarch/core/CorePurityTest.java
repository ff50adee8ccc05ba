package io.arrowarch.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * The core must do no input or output, start no threads, and get time and randomness from its
 * caller only; otherwise simulations with a fake clock and a seed could not be repeated. Its
 * packages must not depend on each other in cycles.
 */
public class CorePurityTest {
  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("io.arrowarch.core");

  @Test
  public void doesNoInputOrOutputAndStartsNoThreads() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.vertx..", "java.net..", "java.nio.channels..", "java.util.concurrent..")
        .orShould()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.io.File.class)
        .check(CORE);
  }

  @Test
  public void readsNoSystemClockAndCreatesNoRandomGenerator() {
    noClasses()
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Instant.class, "now")
        .orShould()
        .callConstructor(Random.class)
        .orShould()
        .callConstructor(Random.class, long.class)
        .orShould()
        .callMethod(Math.class, "random")
        .check(CORE);
  }

  @Test
  public void packagesDependInOneDirection() {
    slices().matching("io.arrowarch.core.(*)..").should().beFreeOfCycles().check(CORE);
  }
}

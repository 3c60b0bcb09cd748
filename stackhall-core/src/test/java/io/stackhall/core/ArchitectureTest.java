package io.stackhall.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** What the core's packages may depend on. */
class ArchitectureTest {

    private final JavaClasses core =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.stackhall.core");

    @Test
    void packagesHaveNoCycles() {
        slices().matching("io.stackhall.core.(*)..").should().beFreeOfCycles().check(core);
    }

    @Test
    void coreDoesNoInputOrOutputAndHasNoClockOrThread() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..", "java.net..", "java.nio.file..", "java.util.concurrent..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, java.time.Clock.class, java.util.Random.class)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(core);
    }
}

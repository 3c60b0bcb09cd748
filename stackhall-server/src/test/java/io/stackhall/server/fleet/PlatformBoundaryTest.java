package io.stackhall.server.fleet;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The platform's words stay in their one folder, and what is in it decides nothing. */
class PlatformBoundaryTest {

    private static final Path ROOT = Path.of("..");

    /** Names with a dash or a slash in quotes: they are the platform's, not usual words. */
    private static final Pattern PLATFORM_NAME =
            Pattern.compile("\"(X-[A-Za-z-]+|[a-z]+(?:-[a-z]+)+|/-/[a-z/]+)\"");

    /** The project's own interface had this header before. */
    private static final String SHARED = "\"X-Request-Id\"";

    @Test
    void platformDependsOnTheCoreAndItsCodecAlone() {
        classes()
                .that()
                .resideInAPackage("io.stackhall.platform..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "io.stackhall.platform..",
                        "io.stackhall.core..",
                        "io.vavr..",
                        "com.fasterxml.jackson.core..",
                        "java..")
                .check(
                        new ClassFileImporter()
                                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                                .importPackages("io.stackhall"));
    }

    @Test
    void namesOfThePlatformStandNowhereElse() throws IOException {
        List<String> names = new ArrayList<>();
        for (Path file : sources(ROOT.resolve("platform/src/main/java"))) {
            Matcher matcher = PLATFORM_NAME.matcher(Files.readString(file));
            while (matcher.find()) {
                names.add(matcher.group());
            }
        }
        names.removeIf(SHARED::equals);
        assertThat(names).hasSizeGreaterThan(20);
        for (String module : List.of("stackhall-core", "stackhall-server")) {
            for (Path file : sources(ROOT.resolve(module + "/src/main/java"))) {
                String text = Files.readString(file);
                assertThat(names.stream().filter(text::contains)).as(file.toString()).isEmpty();
            }
        }
    }

    private static List<Path> sources(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }
}

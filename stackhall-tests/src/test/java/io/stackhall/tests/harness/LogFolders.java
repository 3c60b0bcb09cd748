package io.stackhall.tests.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.AnnotatedElementContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.io.TempDirFactory;

/**
 * Creates the folders in which the processes of tests keep their logs and data, and says where the
 * folder of a test that failed is. {@code junit-platform.properties} names it for all tests, with
 * the rule that only folders of tests that pass are deleted.
 */
public final class LogFolders implements TempDirFactory {

    /** Where the folders lie; it survives a build that does not clean. */
    static final Path PARENT = Path.of("target", "test-logs").toAbsolutePath();

    private Path folder;

    @Override
    public Path createTempDirectory(
            AnnotatedElementContext element, ExtensionContext extensionContext) throws IOException {
        Files.createDirectories(PARENT);
        String test =
                extensionContext.getRequiredTestClass().getSimpleName()
                        + extensionContext
                                .getTestMethod()
                                .map(method -> "." + method.getName())
                                .orElse("");
        folder = Files.createTempDirectory(PARENT, test + "-");
        return folder;
    }

    /** Is called once the folder has been deleted, if it is to be. */
    @Override
    public void close() {
        if (folder != null && Files.exists(folder)) {
            System.out.println("test.logs-kept folder=" + folder);
        }
    }
}

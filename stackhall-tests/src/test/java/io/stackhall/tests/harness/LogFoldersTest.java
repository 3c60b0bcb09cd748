package io.stackhall.tests.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Logs of tests that failed were gone with the folders of the tests. */
class LogFoldersTest {

    @TempDir private Path folder;

    @Test
    void folderOfATestLiesWhereItsLogsAreKeptAndNamesTheTest() {
        assertThat(folder.getParent()).isEqualTo(LogFolders.PARENT);
        assertThat(folder.getFileName().toString())
                .startsWith("LogFoldersTest.folderOfATestLiesWhereItsLogsAreKeptAndNamesTheTest-");
    }
}

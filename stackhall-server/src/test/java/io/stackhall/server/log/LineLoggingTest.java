package io.stackhall.server.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.Arrays;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.junit.jupiter.api.Test;

/** How the lines of a process are set up before its first logger is made. */
class LineLoggingTest {

    /** A process whose memory was collected at its start wrote its lines elsewhere. */
    @Test
    void linesStayInForceThoughMemoryIsCollectedBeforeTheFirstLogger() throws Exception {
        try (URLClassLoader process = loaderOfItsOwn()) {
            Class<?> level = process.loadClass(Level.class.getName());
            Object info = level.getField("INFO").get(null);
            process.loadClass(LineLogging.class.getName())
                    .getMethod("install", level)
                    .invoke(null, info);
            System.gc();
            Object context =
                    process.loadClass(LogManager.class.getName())
                            .getMethod("getContext", ClassLoader.class, boolean.class)
                            .invoke(null, process, false);
            Object configuration = context.getClass().getMethod("getConfiguration").invoke(context);
            assertThat(configuration.getClass().getName()).startsWith(LineLogging.class.getName());
        }
    }

    /** Returns a loader of the same classes, in which no logger has been made yet. */
    private static URLClassLoader loaderOfItsOwn() {
        URL[] classes =
                Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                        .map(Path::of)
                        .map(Path::toUri)
                        .map(LineLoggingTest::url)
                        .toArray(URL[]::new);
        return new URLClassLoader(classes, ClassLoader.getPlatformClassLoader());
    }

    private static URL url(URI uri) {
        try {
            return uri.toURL();
        } catch (MalformedURLException e) {
            throw new IllegalArgumentException("no place of classes: " + uri, e);
        }
    }
}

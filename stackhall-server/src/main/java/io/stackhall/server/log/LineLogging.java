package io.stackhall.server.log;

import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Logs of processes that find each other by seeds: JSON lines to standard output, written by a
 * thread of their own.
 *
 * <p>Set up in code: from a configuration file the library would read it through an XML parser and
 * build each part by reflection, which takes two fifths of the processor time of a start.
 */
public final class LineLogging {

    /** Lines that may wait for the writer; a burst of a busy second fits. */
    private static final int BUFFERED_LINES = 2048;

    /** How long the end of a process waits for lines that are not yet written, in milliseconds. */
    private static final long SHUTDOWN_MILLIS = 300;

    private static final String CONSOLE = "stdout";
    private static final String ASYNC = "async";
    private static final String NETTY = "io.netty";

    /**
     * The library itself holds its context weakly until the first logger is made: without this, a
     * collection of memory before then has all lines written as a file configures.
     */
    private static final AtomicReference<LoggerContext> IN_FORCE = new AtomicReference<>();

    private LineLogging() {}

    /** Takes effect for all loggers; to be called before the first of them is made. */
    public static void install(Level level) {
        IN_FORCE.set(Configurator.initialize(null, new Lines(level)));
    }

    /** The configuration. */
    private static final class Lines extends AbstractConfiguration {

        private final Level level;

        Lines(Level level) {
            super((LoggerContext) null, ConfigurationSource.NULL_SOURCE);
            this.level = level;
            setName("lines");
            isShutdownHookEnabled = false;
        }

        /** Does without the search for plugins, of which none is needed. */
        @Override
        public void initialize() {
            ConsoleAppender console =
                    ConsoleAppender.newBuilder()
                            .setName(CONSOLE)
                            .setLayout(new JsonLineLayout())
                            .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                            .setConfiguration(this)
                            .build();
            addAppender(console);
            AsyncAppender async =
                    AsyncAppender.newBuilder()
                            .setName(ASYNC)
                            .setAppenderRefs(
                                    new AppenderRef[] {
                                        AppenderRef.createAppenderRef(CONSOLE, null, null)
                                    })
                            .setBufferSize(BUFFERED_LINES)
                            .setShutdownTimeout(SHUTDOWN_MILLIS)
                            .setConfiguration(this)
                            .build();
            addAppender(async);
            addLogger(NETTY, new LoggerConfig(NETTY, Level.ERROR, true));
            getRootLogger().setLevel(level);
            getRootLogger().addAppender(async, level, MutedLines.filter());
            setState(State.INITIALIZED);
        }
    }
}

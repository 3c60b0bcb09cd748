package io.stackhall.server.fleet;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Repeats a task on an event loop. A task that fails once is logged and repeated all the same: the
 * loop itself would drop it in silence, while its process looks healthy.
 */
public final class RepeatedTask {

    private static final Logger logger = LogManager.getLogger(RepeatedTask.class);

    private RepeatedTask() {}

    /** Runs a task at a fixed interval from now on. */
    public static void every(EventLoop loop, long millis, Runnable task) {
        loop.scheduleAtFixedRate(() -> run(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logger.error("daemon.task-failed {}", e.toString(), e);
        }
    }
}

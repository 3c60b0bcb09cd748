package io.stackhall.server.fleet;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Repeats a task on an event loop. A failure is logged and the task is still repeated: the event
 * loop itself would cancel the task without a message, while the process looks healthy.
 */
public final class RepeatedTask {

    private static final Logger logger = LogManager.getLogger(RepeatedTask.class);

    private RepeatedTask() {}

    /** Runs a task at a fixed interval in milliseconds, for the first time after one interval. */
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

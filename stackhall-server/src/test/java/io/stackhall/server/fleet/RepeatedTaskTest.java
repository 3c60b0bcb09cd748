package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a daemon does again and again. */
class RepeatedTaskTest {

    @Test
    void taskThatFailsIsRepeated() throws Exception {
        MultiThreadIoEventLoopGroup threads =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            CountDownLatch runs = new CountDownLatch(3);
            RepeatedTask.every(
                    threads.next(),
                    5,
                    () -> {
                        runs.countDown();
                        throw new IllegalStateException("fails each time");
                    });
            assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
        } finally {
            threads.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
        }
    }
}

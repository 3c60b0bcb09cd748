package io.stackhall.server.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.logging.log4j.ThreadContext;
import org.apache.logging.log4j.core.Filter;
import org.apache.logging.log4j.core.impl.ContextDataFactory;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.junit.jupiter.api.Test;

/** Which lines are suppressed. */
class MutedLinesTest {

    /** Lines of a warm-up beside those of a host would tell of requests that nobody sent. */
    @Test
    void onlyLinesOfTheTaskAreDropped() {
        assertThat(result()).isEqualTo(Filter.Result.NEUTRAL);
        MutedLines.run(() -> assertThat(result()).isEqualTo(Filter.Result.DENY));
        assertThat(result()).isEqualTo(Filter.Result.NEUTRAL);
    }

    private static Filter.Result result() {
        return MutedLines.filter()
                .filter(
                        Log4jLogEvent.newBuilder()
                                .setContextData(
                                        ContextDataFactory.createContextData(
                                                ThreadContext.getImmutableContext()))
                                .build());
    }
}

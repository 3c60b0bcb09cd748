package io.stackhall.core.answer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What a host holds of unfinished answers over all its requests. */
class HeldBytesTest {

    private static final int LIMIT = 20 << 20;
    private static final int PART = 16 << 10;

    // Two hundred answers that do not end filled a host, each within the bound of one answer.
    @Test
    void answersThatDoNotEndNeverHoldMoreThanTheHostHasRoomFor() {
        HeldBytes bytes = new HeldBytes(LIMIT);
        Random random = new Random(5);
        Deque<Integer> held = new ArrayDeque<>();
        int refused = 0;
        for (int part = 0; part < 200 * 16; part++) {
            int size = 1 + random.nextInt(PART);
            if (bytes.tryHold(size)) {
                held.add(size);
            } else {
                refused++;
            }
            assertThat(bytes.held()).isLessThanOrEqualTo(LIMIT);
        }
        assertThat(refused).isPositive();
        held.forEach(bytes::release);
        assertThat(bytes.held()).isZero();
        assertThat(bytes.tryHold(LIMIT)).isTrue();
    }
}

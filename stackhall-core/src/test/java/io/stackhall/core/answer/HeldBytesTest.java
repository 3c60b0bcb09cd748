package io.stackhall.core.answer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a host holds of unfinished answers over all its requests. */
class HeldBytesTest {

    private static final int LIMIT = 20 << 20;
    private static final int PART = 16 << 10;
    private static final int ANSWERS = 200;
    private static final int PARTS = 16;

    private final HeldBytes bytes = new HeldBytes(LIMIT);
    private final List<HeldBytes.Share> shares = new ArrayList<>();
    private int refused;

    @BeforeEach
    void answersThatDoNotEndCome() {
        Random random = new Random(5);
        int[] lengths = new int[ANSWERS];
        for (int answer = 0; answer < ANSWERS; answer++) {
            shares.add(bytes.newShare());
        }
        for (int part = 0; part < ANSWERS * PARTS; part++) {
            int answer = part % ANSWERS;
            lengths[answer] += 1 + random.nextInt(PART);
            if (!shares.get(answer).hold(lengths[answer])) {
                refused++;
                lengths[answer] = 0;
            }
            assertThat(bytes.held()).isLessThanOrEqualTo(LIMIT);
        }
    }

    // Two hundred answers that do not end filled a host, each within the bound of one answer.
    @Test
    void answersThatDoNotEndNeverHoldMoreThanTheHostHasRoomFor() {
        assertThat(refused).isPositive();
        shares.forEach(HeldBytes.Share::release);
        assertThat(bytes.held()).isZero();
        assertThat(bytes.newShare().hold(LIMIT)).isTrue();
    }

    // A refusal by an upstream became an unknown outcome, as there was no room to hold it.
    @Test
    void shortAnswersAreHeldThoughLongOnesTakeAllRoom() {
        HeldBytes full = new HeldBytes(LIMIT);
        assertThat(full.newShare().hold(LIMIT)).isTrue();
        assertThat(full.newShare().hold(800)).isTrue();
        assertThat(full.held()).isLessThanOrEqualTo(LIMIT);
    }
}

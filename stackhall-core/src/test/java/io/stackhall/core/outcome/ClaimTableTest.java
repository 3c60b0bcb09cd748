package io.stackhall.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.id.ZoneId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How claims are taken, ended and restored, and which zone holds them. */
class ClaimTableTest {

    private static final ClaimKey KEY = key("k");
    private static final AttemptToken FIRST = new AttemptToken("first");
    private static final AttemptToken SECOND = new AttemptToken("second");
    private static final StoredAnswer ANSWER =
            new StoredAnswer(200, "text/plain", new byte[] {1}, true);

    private final ClaimTable table = new ClaimTable(2);

    @Test
    void onlyOneAttemptIsGrantedAndItsResendIsGrantedAgain() {
        assertThat(claim(KEY, FIRST)).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claim(KEY, SECOND)).isInstanceOf(ClaimResult.InProgress.class);
        assertThat(claim(KEY, FIRST)).isInstanceOf(ClaimResult.Granted.class);
    }

    @Test
    void answeredClaimIsReplayedForEveryAttempt() {
        claim(KEY, FIRST);
        table.apply(new ClaimCommand.Complete(KEY, FIRST, ANSWER));
        assertThat(claim(KEY, SECOND)).isEqualTo(new ClaimResult.Replay(ANSWER));
        assertThat(claim(KEY, FIRST)).isEqualTo(new ClaimResult.Replay(ANSWER));
    }

    @Test
    void abandonedClaimIsNeverGrantedAgainButALateAnswerIsKept() {
        claim(KEY, FIRST);
        table.apply(new ClaimCommand.Abandon(KEY, FIRST));
        assertThat(claim(KEY, SECOND)).isInstanceOf(ClaimResult.Uncertain.class);
        table.apply(new ClaimCommand.Release(KEY, FIRST));
        assertThat(claim(KEY, SECOND)).isInstanceOf(ClaimResult.Uncertain.class);
        table.apply(new ClaimCommand.Complete(KEY, FIRST, ANSWER));
        assertThat(claim(KEY, SECOND)).isEqualTo(new ClaimResult.Replay(ANSWER));
    }

    @Test
    void onlyTheHolderEndsAClaim() {
        claim(KEY, FIRST);
        assertThat(table.apply(new ClaimCommand.Release(KEY, SECOND)))
                .isInstanceOf(ClaimResult.Stale.class);
        assertThat(claim(KEY, SECOND)).isInstanceOf(ClaimResult.InProgress.class);
        table.apply(new ClaimCommand.Release(KEY, FIRST));
        assertThat(claim(KEY, SECOND)).isInstanceOf(ClaimResult.Granted.class);
    }

    @Test
    void keyOfAnotherRequestIsAConflict() {
        claim(KEY, FIRST);
        assertThat(table.apply(new ClaimCommand.Claim(KEY, SECOND, "other")))
                .isInstanceOf(ClaimResult.Conflict.class);
    }

    @Test
    void unknownKeysAreUncertainAfterMemoryLossUntilMemoryIsTrusted() {
        table.markMemoryLost();
        assertThat(claim(KEY, FIRST)).isInstanceOf(ClaimResult.Uncertain.class);
        table.apply(new ClaimCommand.TrustMemory());
        assertThat(claim(KEY, FIRST)).isInstanceOf(ClaimResult.Granted.class);
    }

    @Test
    void fullTableGrantsNothingNew() {
        claim(KEY, FIRST);
        claim(key("l"), FIRST);
        assertThat(claim(key("m"), FIRST)).isInstanceOf(ClaimResult.Full.class);
        assertThat(claim(KEY, FIRST)).isInstanceOf(ClaimResult.Granted.class);
    }

    @Test
    void stateIsRestoredWhole() {
        claim(KEY, FIRST);
        table.apply(new ClaimCommand.Complete(KEY, FIRST, ANSWER));
        table.markMemoryLost();
        ClaimTable restored = new ClaimTable(table.state());
        assertThat(restored.state()).isEqualTo(table.state());
    }

    @Test
    void zoneDependsOnTheKeyAloneAndNamedZonesAreHonoured() {
        ZoneId yoff = new ZoneId("yoff");
        List<ZoneId> zones = List.of(new ZoneId("plateau"), yoff, new ZoneId("rufisque"));
        ClaimPlacement placement = new ClaimPlacement(zones);
        ClaimPlacement reversed = new ClaimPlacement(zones.reversed());
        Map<ZoneId, Integer> spread = new HashMap<>();
        for (int at = 0; at < 3000; at++) {
            IdempotencyKey key = new IdempotencyKey("key-" + at);
            assertThat(reversed.zoneOf(key)).isEqualTo(placement.zoneOf(key));
            spread.merge(placement.zoneOf(key), 1, Integer::sum);
        }
        assertThat(spread.values()).hasSize(3).allMatch(count -> count > 850 && count < 1150);
        assertThat(placement.zoneOf(new IdempotencyKey("yoff:1"))).isEqualTo(yoff);
    }

    private ClaimResult claim(ClaimKey key, AttemptToken token) {
        return table.apply(new ClaimCommand.Claim(key, token, "same"));
    }

    private static ClaimKey key(String text) {
        return new ClaimKey(new CustomerId("c"), new IdempotencyKey(text));
    }
}

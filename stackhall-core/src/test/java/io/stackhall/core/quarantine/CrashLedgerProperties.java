package io.stackhall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.UpstreamId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Word of ends and acquittals in any order, late and twice. */
class CrashLedgerProperties {

    private static final int REQUESTS = 5;
    private static final int INCARNATIONS = 4;

    /** One thing that a host tells. */
    record Notice(boolean crash, int incarnation, int request) {

        private void applyTo(CrashLedger ledger) {
            Set<UpstreamId> lives = Set.of(new UpstreamId("i-" + incarnation));
            if (crash) {
                ledger.recordCrash(new Crash(lives.iterator().next(), Set.of(digest(request))), 0);
            } else {
                ledger.applyAcquittal(new Acquittal(digest(request), lives));
            }
        }
    }

    @Property
    void hostsThatReceiveTheSameNoticesAgree(
            @ForAll("words") List<Notice> words, @ForAll long seed) {
        List<Notice> others = new ArrayList<>(words);
        others.addAll(words);
        Collections.shuffle(others, new Random(seed));
        assertThat(standings(others)).isEqualTo(standings(words));
    }

    @Property
    void requestInAtMostOneCrashIsNeverCondemned(@ForAll("words") List<Notice> words) {
        CrashLedger ledger = ledger(words);
        for (int number = 0; number < REQUESTS; number++) {
            int request = number;
            long ends =
                    words.stream()
                            .filter(word -> word.crash() && word.request() == request)
                            .map(Notice::incarnation)
                            .distinct()
                            .count();
            if (ends <= 1) {
                assertThat(ledger.standing(digest(request), 0))
                        .isNotInstanceOf(Standing.Condemned.class);
            }
        }
    }

    @Property
    void requestInThreeCrashesWithoutAcquittalIsCondemned(@ForAll("words") List<Notice> words) {
        List<Notice> all = new ArrayList<>(words);
        for (int life = 0; life < 3; life++) {
            all.add(new Notice(true, life, REQUESTS));
        }
        assertThat(ledger(all).standing(digest(REQUESTS), 0))
                .isInstanceOf(Standing.Condemned.class);
    }

    @Provide
    Arbitrary<List<Notice>> notices() {
        Arbitrary<Notice> word =
                Arbitraries.integers()
                        .between(0, 4 * INCARNATIONS * REQUESTS - 1)
                        .map(
                                drawn ->
                                        new Notice(
                                                drawn % 4 > 0,
                                                drawn / 4 % INCARNATIONS,
                                                drawn / 4 / INCARNATIONS));
        return word.list().ofMaxSize(30);
    }

    private static List<Standing> standings(List<Notice> words) {
        CrashLedger ledger = ledger(words);
        List<Standing> all = new ArrayList<>();
        for (int request = 0; request < REQUESTS; request++) {
            all.add(ledger.standing(digest(request), 0));
        }
        return all;
    }

    private static CrashLedger ledger(List<Notice> words) {
        CrashLedger ledger = new CrashLedger();
        words.forEach(word -> word.applyTo(ledger));
        return ledger;
    }

    private static RequestDigest digest(int request) {
        return CrashLedgerTest.digest("request " + request);
    }
}

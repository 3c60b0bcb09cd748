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

/** Crashes and acquittals that are reported in any order, late and twice. */
class CrashLedgerProperties {

    private static final int REQUESTS = 5;
    private static final int INCARNATIONS = 4;

    /** A report of another host. */
    record Notice(boolean crash, int incarnation, int request) {

        private void applyTo(CrashLedger ledger) {
            Set<UpstreamId> incarnations = Set.of(new UpstreamId("i-" + incarnation));
            if (crash) {
                ledger.recordCrash(
                        new Crash(incarnations.iterator().next(), Set.of(digest(request))), 0);
            } else {
                ledger.applyAcquittal(new Acquittal(digest(request), incarnations));
            }
        }
    }

    @Property
    void hostsThatReceiveTheSameNoticesAgree(
            @ForAll("notices") List<Notice> notices, @ForAll long seed) {
        List<Notice> shuffled = new ArrayList<>(notices);
        shuffled.addAll(notices);
        Collections.shuffle(shuffled, new Random(seed));
        assertThat(standings(shuffled)).isEqualTo(standings(notices));
    }

    @Property
    void requestInAtMostOneCrashIsNeverCondemned(@ForAll("notices") List<Notice> notices) {
        CrashLedger ledger = ledger(notices);
        for (int number = 0; number < REQUESTS; number++) {
            int request = number;
            long crashes =
                    notices.stream()
                            .filter(notice -> notice.crash() && notice.request() == request)
                            .map(Notice::incarnation)
                            .distinct()
                            .count();
            if (crashes <= 1) {
                assertThat(ledger.standing(digest(request), 0))
                        .isNotInstanceOf(Standing.Condemned.class);
            }
        }
    }

    @Property
    void requestInThreeCrashesWithoutAcquittalIsCondemned(@ForAll("notices") List<Notice> notices) {
        List<Notice> all = new ArrayList<>(notices);
        for (int incarnation = 0; incarnation < 3; incarnation++) {
            all.add(new Notice(true, incarnation, REQUESTS));
        }
        assertThat(ledger(all).standing(digest(REQUESTS), 0))
                .isInstanceOf(Standing.Condemned.class);
    }

    @Provide
    Arbitrary<List<Notice>> notices() {
        Arbitrary<Notice> notice =
                Arbitraries.integers()
                        .between(0, 4 * INCARNATIONS * REQUESTS - 1)
                        .map(
                                drawn ->
                                        new Notice(
                                                drawn % 4 > 0,
                                                drawn / 4 % INCARNATIONS,
                                                drawn / 4 / INCARNATIONS));
        return notice.list().ofMaxSize(30);
    }

    private static List<Standing> standings(List<Notice> notices) {
        CrashLedger ledger = ledger(notices);
        List<Standing> all = new ArrayList<>();
        for (int request = 0; request < REQUESTS; request++) {
            all.add(ledger.standing(digest(request), 0));
        }
        return all;
    }

    private static CrashLedger ledger(List<Notice> notices) {
        CrashLedger ledger = new CrashLedger();
        notices.forEach(notice -> notice.applyTo(ledger));
        return ledger;
    }

    private static RequestDigest digest(int request) {
        return CrashLedgerTest.digest("request " + request);
    }
}

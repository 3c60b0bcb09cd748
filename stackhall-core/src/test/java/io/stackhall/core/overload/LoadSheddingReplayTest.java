package io.stackhall.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.overload.OverloadReplay.Caller;
import io.stackhall.core.overload.OverloadReplay.Kind;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Replays load on one host with and without load shedding. */
class LoadSheddingReplayTest {

    private static final Kind MOST_URGENT = new Kind(0, 500, 3000);
    private static final Kind URGENT = new Kind(1, 500, 10_000);
    private static final Kind PATIENT = new Kind(2, 10_000, 20_000);
    private static final Kind PLAIN = new Kind(2, 100, 1000);

    /** The kinds of requests in equal shares: three of ten are urgent. */
    private static final List<Kind> MIX =
            List.of(
                    MOST_URGENT,
                    URGENT,
                    URGENT,
                    PATIENT,
                    PATIENT,
                    PATIENT,
                    PLAIN,
                    PLAIN,
                    PLAIN,
                    PLAIN);

    private static final List<RequestClass> CLASSES =
            Stream.of(MOST_URGENT, URGENT, PATIENT, PLAIN).map(Kind::requestClass).toList();

    private static final double MEAN_INTERVAL = 10;
    private static final double USUAL_WORK = 4;
    private static final double SLOW_WORK = 13;
    private static final double SLOW_FROM = 5000;
    private static final double SLOW_TO = 15_000;
    private static final double END = 30_000;

    private static final int SEEDS = 5;

    private final Random random = new Random(1);

    /** Without load shedding all requests of an overloaded host are late, urgent ones included. */
    @Test
    void urgentRequestsAreInTimeWhileTheHostIsTooSlowForAll() {
        Predicate<Caller> all = caller -> true;
        Predicate<Caller> urgent = caller -> caller.kind().rank() < 2;
        for (int seed = 1; seed <= SEEDS; seed++) {
            OverloadReplay without = slowPhase(false, seed);
            OverloadReplay with = slowPhase(true, seed);
            assertThat(shareInTime(without, urgent, SLOW_FROM, SLOW_TO)).isLessThan(0.3);
            assertThat(shareInTime(with, urgent, SLOW_FROM, SLOW_TO)).isGreaterThan(0.9);
            assertThat(shareInTime(with, all, SLOW_FROM, SLOW_TO))
                    .isGreaterThan(1.2 * shareInTime(without, all, SLOW_FROM, SLOW_TO));
        }
    }

    /** A share that stays up, or swings, after the overload refuses requests for nothing. */
    @Test
    void nothingIsRefusedSoonAfterTheHostHasRecovered() {
        OverloadReplay replay = slowPhase(true, 1);
        assertThat(replay.lastRefusalAt()).isBetween(SLOW_FROM, SLOW_TO + 2000);
        assertThat(shareInTime(replay, caller -> true, SLOW_TO + 2000, END)).isGreaterThan(0.99);
    }

    @Test
    void lessUrgentRequestsAreRefusedFirst() {
        OverloadReplay replay = slowPhase(true, 1);
        assertThat(shareRefused(replay, MOST_URGENT)).isLessThan(0.02);
        assertThat(shareRefused(replay, URGENT)).isLessThan(0.25);
        assertThat(shareRefused(replay, PATIENT)).isGreaterThan(0.5);
    }

    /** Requests that arrive together delay the event loop, but not for longer than their work. */
    @Test
    void fewRequestsAreRefusedForABurst() {
        OverloadReplay replay = usualLoad(0, END);
        for (int count = 0; count < 60; count++) {
            replay.add(MIX.get(count % MIX.size()), 2000);
        }
        replay.runTo(END);
        assertThat(replay.callers().stream().filter(caller -> caller.refusals() > 0).count())
                .isLessThan(20);
        assertThat(replay.lastRefusalAt()).isLessThan(3000);
    }

    /** A suspended host has the longest delay of all, and no load. */
    @Test
    void nothingIsRefusedAfterASuspension() {
        OverloadReplay replay = usualLoad(0, 2000);
        replay.runTo(2100);
        replay.suspend(5000);
        addUsualLoad(replay, 7100, END);
        replay.runTo(END);
        assertThat(replay.callers()).allMatch(caller -> caller.refusals() == 0);
    }

    @Test
    void nothingIsRefusedWithoutOverload() {
        OverloadReplay replay = usualLoad(0, END);
        replay.runTo(END);
        assertThat(replay.callers()).allMatch(caller -> caller.refusals() == 0);
    }

    private OverloadReplay slowPhase(boolean sheds, long seed) {
        random.setSeed(seed);
        OverloadReplay replay =
                new OverloadReplay(
                        sheds,
                        CLASSES,
                        now -> now >= SLOW_FROM && now < SLOW_TO ? SLOW_WORK : USUAL_WORK,
                        seed);
        addUsualLoad(replay, 0, END - 5000);
        replay.runTo(2 * END);
        return replay;
    }

    private OverloadReplay usualLoad(double from, double to) {
        OverloadReplay replay = new OverloadReplay(true, CLASSES, now -> USUAL_WORK, 1);
        addUsualLoad(replay, from, to);
        return replay;
    }

    private void addUsualLoad(OverloadReplay replay, double from, double to) {
        for (double at = from; at < to; at += -Math.log1p(-random.nextDouble()) * MEAN_INTERVAL) {
            replay.add(MIX.get(random.nextInt(MIX.size())), at);
        }
    }

    private static double shareInTime(
            OverloadReplay replay, Predicate<Caller> which, double from, double to) {
        List<Caller> all =
                replay.callers().stream()
                        .filter(which)
                        .filter(caller -> caller.startedWithin(from, to))
                        .toList();
        return (double) all.stream().filter(Caller::inTime).count() / all.size();
    }

    private static double shareRefused(OverloadReplay replay, Kind kind) {
        List<Caller> all =
                replay.callers().stream()
                        .filter(caller -> caller.kind().equals(kind))
                        .filter(caller -> caller.startedWithin(SLOW_FROM, SLOW_TO))
                        .toList();
        return (double) all.stream().filter(caller -> caller.refusals() > 0).count() / all.size();
    }
}

package io.stackhall.core.dispatch;

import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.backpressure.RestingUpstreams;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.limit.LimitedUpstreams;
import java.util.Random;

/** Creates dispatchers for tests, in which no instance has a limit at first. */
final class Dispatchers {

    private Dispatchers() {}

    static Dispatcher of(Random random) {
        return of(new ZoneId("plateau"), random);
    }

    static Dispatcher of(ZoneId zone, Random random) {
        LimitedUpstreams limits = new LimitedUpstreams(new HostId("entry-1"), random);
        return new Dispatcher(zone, new Backpressure(limits, new RestingUpstreams(random)), random);
    }
}

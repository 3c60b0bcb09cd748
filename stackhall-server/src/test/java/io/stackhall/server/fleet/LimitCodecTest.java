package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitObservation;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.limit.LimitUpdate;
import io.stackhall.core.limit.PermitAnswer;
import io.stackhall.core.limit.PermitRequest;
import io.stackhall.core.limit.PermitWaits;
import io.stackhall.rpc.generated.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Limits and permits on the wire. */
class LimitCodecTest {

    private static final HostId HOST = new HostId("10.1.0.20:7160");
    private static final UpstreamId UPSTREAM = new UpstreamId("i-87481e2b0a", 1_700_000_000_000L);
    private static final LimitRevision REVISION = new LimitRevision(12, 345);

    @Test
    void wordsAreReadAsTheyWereWritten() {
        LimitUpdate limit = new LimitUpdate(UPSTREAM, OptionalDouble.of(0.5), true, REVISION);
        LimitUpdate none = new LimitUpdate(UPSTREAM, OptionalDouble.empty(), false, REVISION);
        Frame frame = LimitCodec.updates(List.of(limit, none));
        assertThat(LimitCodec.updates(frame.getLimitWords())).containsExactly(limit, none);
    }

    @Test
    void whatUpstreamsSayIsReadAsItWasWritten() {
        for (OptionalDouble named : List.of(OptionalDouble.of(0), OptionalDouble.empty())) {
            LimitObservation heard = new LimitObservation(UPSTREAM, named, REVISION);
            Frame frame = LimitCodec.observation(HOST, heard);
            assertThat(LimitCodec.observation(frame.getLimitHeard())).isEqualTo(heard);
        }
    }

    @Test
    void wantsAndAnswersAreReadAsTheyWereWritten() {
        LimitUpdate known = new LimitUpdate(UPSTREAM, OptionalDouble.of(2), false, REVISION);
        PermitRequest want = new PermitRequest(HOST, UPSTREAM, 3, true, 123_456_789L, -1, true);
        Frame ask = LimitCodec.request(want, known);
        assertThat(LimitCodec.request(ask.getPermitAsk())).isEqualTo(want);
        assertThat(LimitCodec.knownLimit(ask.getPermitAsk())).isEqualTo(known);
        PermitWaits waits =
                new PermitWaits(
                        List.of(Duration.ofMillis(5), Duration.ofMillis(1005)),
                        Duration.ofMillis(2005),
                        Duration.ofSeconds(1));
        PermitAnswer answer = new PermitAnswer(HOST, UPSTREAM, 123_456_789L, true, waits);
        Frame reply = LimitCodec.answer(answer, HOST);
        assertThat(LimitCodec.answer(HOST, reply.getPermitReply())).isEqualTo(answer);
    }
}

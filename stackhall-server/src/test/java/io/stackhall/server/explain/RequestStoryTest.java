package io.stackhall.server.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The story of a request out of the logs of several processes. */
class RequestStoryTest {

    private final List<LogLine> logs = new ArrayList<>();

    @Test
    void refusedRequestIsToldWithTheOrdersForItsModel() {
        line("front-1", "01", "routes.in-force version=4 was=3 routes=17");
        line("front-1", "02", "request.sent id=other instance=i-2 model=m");
        line("core-1", "03", "order.answered instance=i-9 load=true model=m answer=CONFLICT");
        line("front-1", "04", "request.refused id=r1 reason=its model is not resident model=m");
        line("core-1", "05", "order.answered instance=i-9 load=true model=m answer=TAKEN");
        assertThat(events("r1")).containsExactly("routes.in-force", "request.refused");
    }

    @Test
    void failedRequestIsToldWithWhatWasBelievedOfItsInstance() {
        line("front-1", "01", "instance.changed id=i-1 state=READY sequence=4");
        line("front-1", "02", "instance.changed id=i-2 state=READY sequence=4");
        line("front-1", "03", "request.sent id=r1 instance=i-1 model=m");
        line("core-1", "04", "upstream.changed id=i-1 state=SILENT");
        line("front-1", "05", "attempt.failed id=r1 instance=i-1 sent=true reason=reset");
        line("front-1", "06", "request.failed id=r1 status=502");
        assertThat(events("r1"))
                .containsExactly(
                        "instance.changed",
                        "request.sent",
                        "upstream.changed",
                        "attempt.failed",
                        "request.failed");
    }

    @Test
    void streamThatIsTakenUpIsToldWithTheAttemptThatBeganIt() {
        line("front-1", "01", "request.sent id=r1 instance=i-1 software=v1 resumes=");
        line("front-1", "02", "request.broken-off id=r1 lastEvent=3");
        line("front-2", "03", "request.takes-up id=r2 resumes=r1 known=RECORD software=v1");
        line("front-2", "04", "request.sent id=r2 instance=i-2 software=v1 resumes=r1");
        assertThat(events("r2"))
                .containsExactly(
                        "request.sent", "request.broken-off", "request.takes-up", "request.sent");
    }

    @Test
    void refusedRequestIsToldWithWhatWasHeldAgainstItsContentBefore() {
        line("front-2", "01", "request.suspected digest=d1 instance=i-1 standing=Suspect");
        line("front-3", "02", "request.suspected digest=d2 instance=i-1 standing=Suspect");
        line("front-3", "03", "request.suspected digest=d1 instance=i-2 standing=Condemned");
        line("front-1", "04", "request.refused id=r1 digest=d1 reason=instances end under it");
        line("front-2", "05", "request.suspected digest=d1 instance=i-3 standing=Condemned");
        assertThat(events("r1"))
                .containsExactly("request.suspected", "request.suspected", "request.refused");
    }

    @Test
    void requestRefusedForALimitIsToldWithWhatItsInstanceNamed() {
        line("front-2", "01", "upstream.limit-heard id=i-1 perSecond=1.0");
        line("front-1", "02", "upstream.limit-in-force id=i-1 perSecond=1.0 term=2 count=1");
        line("front-1", "03", "request.limited id=r1 instance=i-1 expectedMs=9000");
        line("front-1", "04", "request.refused id=r1 reason=its instances are at the limits");
        assertThat(events("r1"))
                .containsExactly("upstream.limit-in-force", "request.limited", "request.refused");
    }

    @Test
    void requestRefusedForARestIsToldWithWhatItsInstanceAskedFor() {
        line("front-1", "01", "upstream.rest-heard id=i-1 restMs=3000");
        line("front-1", "02", "request.resting id=r1 instance=i-1 expectedMs=2900");
        line("control-1", "02", "upstream.leaving id=i-1 by=front-2");
        line("front-1", "03", "request.refused id=r1 reason=its instances want rest");
        assertThat(events("r1"))
                .containsExactly(
                        "upstream.rest-heard",
                        "request.resting",
                        "upstream.leaving",
                        "request.refused");
    }

    @Test
    void requestThatNobodyNamesHasNoStory() {
        line("front-1", "01", "request.sent id=r1 instance=i-1");
        assertThat(RequestStory.of("r2", logs)).isEmpty();
    }

    @Test
    void linesOfOtherFormsArePassedOver() {
        assertThat(LogLine.parse("f", "WARNING: something")).isEmpty();
        assertThat(LogLine.parse("f", "{\"time\":\"1\"")).isEmpty();
        assertThat(LogLine.parse("f", " 1.2 front-1 {\"time\":\"1\",\"message\":\"a.b x=1\"}"))
                .contains(new LogLine("1.2 front-1", "1", "a.b x=1"));
    }

    private void line(String process, String second, String message) {
        logs.add(new LogLine(process, "2026-01-01T00:00:" + second + ".000Z", message));
    }

    private List<String> events(String request) {
        return RequestStory.of(request, logs).stream().map(LogLine::event).toList();
    }
}

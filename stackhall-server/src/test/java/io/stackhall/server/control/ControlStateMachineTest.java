package io.stackhall.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import org.junit.jupiter.api.Test;

/** The replicated state of the control group under commands that come late, twice or in numbers. */
class ControlStateMachineTest {

    private static final int REMEMBERED = 2_000;

    private final ControlStateMachine machine = new ControlStateMachine();

    // The next host to take over would not have waited for the orders of the one that it replaces.
    @Test
    void takeOverThatIsRepeatedAfterTheNextOneNamesNobody() {
        machine.apply(ControlStateMachine.takeOverCommand("a", 1));
        machine.apply(ControlStateMachine.takeOverCommand("b", 2));
        machine.apply(ControlStateMachine.takeOverCommand("a", 1));
        assertThat(machine.state().getHolder()).isEqualTo("b");
        assertThat(machine.state().getTerm()).isEqualTo(2);
    }

    @Test
    void endsAreRememberedOnceEachAndTheLatestOnesLongest() {
        for (int number = 0; number <= REMEMBERED; number++) {
            machine.apply(ControlStateMachine.endCommand(new UpstreamId("i-" + number)));
        }
        machine.apply(ControlStateMachine.endCommand(new UpstreamId("i-1")));
        assertThat(machine.state().getEndedList())
                .hasSize(REMEMBERED)
                .doesNotContain("i-0")
                .startsWith("i-1")
                .endsWith("i-" + REMEMBERED);
    }

    @Test
    void endsOutliveASnapshotAndAreLeftOutOfAnswers() {
        machine.apply(ControlStateMachine.endCommand(new UpstreamId("i-1")));
        ControlSnapshot answer = ControlStateMachine.decodeState(machine.query(new byte[0]));
        assertThat(answer.getEndedList()).isEmpty();
        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(machine.snapshot());
        assertThat(restored.state().getEndedList()).containsExactly("i-1");
    }
}

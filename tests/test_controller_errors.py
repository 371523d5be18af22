"""A command that raises does not stop the controller."""

from oakmux.core import messages
from oakmux.core.peer_messages import MachineView
from tests.fakes import Simulation


def test_a_failing_command_does_not_stop_the_controller():
    sim = Simulation()
    sim.run(5)
    sim.expects_exceptions = True
    sim.command("h0", messages.ReceiveHeartbeat(None, None))
    sim.command(
        "h0",
        messages.ReceivePeerMessages(lambda *a: None, "h1", [None, MachineView(*[None] * 12)]),
    )
    sim.run(5)
    assert sim.cores["h0"].context.term

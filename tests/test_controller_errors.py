"""A command that raises does not stop the controller."""

from tests.fakes import Simulation


def test_a_failing_command_does_not_stop_the_controller():
    sim = Simulation()
    sim.run(5)
    sim.command("h0", ("report", None, None))
    sim.command("h0", ("peer", lambda *a: None, "h1", [["nonsense"], [], ["view", 1]]))
    sim.run(5)
    assert sim.cores["h0"].context.term

"""Commands of the command line against a stubbed controller."""

import json

from click.testing import CliRunner

from oakmux.cli import main


def test_commands_fail_over_between_servers_and_set_exit_codes(tmp_path, monkeypatch):
    requests, bodies = [], []

    def answer(server, method, path, body=None):
        requests.append((server, method, path))
        if body is not None:
            bodies.append(body)
        if server == "127.0.0.1:1":
            raise OSError("refused")
        if path == "/healthz":
            return 200, {"label": "h0", "term": 3, "machines": 2, "teams": ["red"]}
        if path.endswith("job-404"):
            return 404, {"error": "unknown job"}
        if path.endswith("job-7"):
            return 200, {
                "id": "job-7",
                "status": "queued",
                "done": 0,
                "running": 0,
                "waits_on": ["job-1", "job-5"],
            }
        return 200, {"id": "job-1", "status": "done", "done": 2, "running": 0}

    monkeypatch.setattr("oakmux.cli.client.send_request", answer)
    ini = tmp_path / "o.ini"
    ini.write_text("[oakmux]\nservers = 127.0.0.1:1, 127.0.0.1:2\n")
    job = tmp_path / "job.toml"
    job.write_text('id = "job-1"\nteam = "red"\ntasks = 2\n')
    run = CliRunner().invoke
    base = ["--ini", str(ini)]
    result = run(main, [*base, "submit", "--file", str(job), "--gpus", "1"])
    assert result.exit_code == 0
    assert "job-1: done" in result.output
    assert [a[0] for a in requests] == ["127.0.0.1:1", "127.0.0.1:2"]  # the second server answered
    run(main, [*base, "submit", "--file", str(job), "--waits-on", "job-5", "--waits-on", "job-6"])
    assert bodies[-1]["waits_on"] == ["job-5", "job-6"]
    waits = run(main, [*base, "status", "job-7"]).output
    assert waits == "job-7: queued (done 0, running 0), waits on job-1, job-5\n"
    assert json.loads(run(main, [*base, "--json", "status", "job-1"]).output)["done"] == 2
    assert run(main, [*base, "wait", "job-1"]).exit_code == 0
    assert run(main, [*base, "status", "job-404"]).exit_code == 1
    assert run(main, [*base, "status", "nonsense"]).exit_code == 2
    assert run(main, [*base, "submit", "--id", "job-2"]).exit_code == 2
    assert "NOT READY" in run(main, [*base, "controllers"]).output
    assert run(main, ["--server", "nowhere", "controllers"]).exit_code == 2

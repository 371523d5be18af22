"""Bodies of the controller's answers to requests."""

from typing import Any

from oakmux.codec.users import JOB_STATES


def answer_body(answer: tuple) -> Any:
    """Turn a tagged answer of the core into a body."""
    tag = answer[0]
    if tag == "job":
        _, job_id, state, done, running, *waits_on = answer
        body = {"id": job_id, "status": JOB_STATES[state], "done": done, "running": running}
        return {**body, "waits_on": waits_on[0]} if waits_on else body
    if tag == "orders":
        return {"baton": answer[1], "orders": answer[2]}
    if tag == "report_to":
        return {"boss": answer[1]} if answer[1] else {}
    if tag == "error":
        return {"error": answer[1]}
    if tag == "health":
        return {
            "label": answer[1],
            "ready": answer[2],
            "term": answer[3],
            "teams": answer[4],
            "machines": answer[5],
        }
    if tag == "peer":
        return list(answer)
    if tag == "schedules":
        return answer[1]
    raise ValueError(f"unknown answer {tag}")

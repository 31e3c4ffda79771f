"""The quick start of the README, as processes on loopback with real clocks."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from support.fakes import RAW_SETTINGS, submission
from support.processes import LOOPBACK, ROOT, TIMEOUT_S, fetch, find_free_ports, wait_for_status


@pytest.fixture(scope="module")
def base() -> Iterator[int]:
    """Run the quick start; the base of its ports."""
    port = find_free_ports()
    process = subprocess.Popen(
        [sys.executable, str(LOOPBACK), "--port", str(port)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield port
    finally:
        process.send_signal(2)
        process.wait(30)


def test_any_controller_takes_answers_for_and_cancels_any_job(base: int) -> None:
    first, last = (f"http://127.0.0.1:{base + at}/v2/runs" for at in (10, 14))
    body = msgspec.json.encode(submission("run-000001", estimated_s=0.5, task_count=5, spot=True))
    wait_for_status(first, "queued", body)
    wait_for_status(f"{last}/run-000001", "done")
    assert fetch(first, body) == (200, {"ref": "run-000001", "status": "done"})
    long = msgspec.json.encode(
        submission("run-000002", estimated_s=500.0, shape="group", task_count=2)
    )
    wait_for_status(last, "queued", long)
    wait_for_status(f"{first}/run-000002", "running")
    wait_for_status(f"{last}/run-000002/cancel", "cancelled", b"")
    assert wait_for_status(f"{first}/run-000002", "cancelled") == {
        "ref": "run-000002",
        "status": "cancelled",
    }
    assert fetch(f"{first}/run-000099")[0] == 404
    assert fetch(f"{first}/run-000099/cancel", b"")[0] == 404
    assert fetch(first, b"[1]")[0] == 400
    assert fetch(first, b"x" * 70_000)[0] in (413, 0)  # the connection is closed on the sender
    assert fetch(first, msgspec.json.encode(submission("run-000003", team="nobody")))[0] == 422


def until_serving(url: str, count: int) -> None:
    """Ask until the service runs with this count of replicas."""
    end = time.monotonic() + TIMEOUT_S
    answer: Any = None
    while time.monotonic() < end:
        status, answer = fetch(url)
        if status == 200 and (answer["status"], answer.get("running")) == ("running", count):
            return
        time.sleep(0.2)
    raise AssertionError(f"{url}: last answer {answer}")


def test_a_service_keeps_its_replicas_through_failures_until_it_is_cancelled(base: int) -> None:
    first, last = (f"http://127.0.0.1:{base + at}/v2/runs" for at in (10, 14))
    faults = f"http://127.0.0.1:{base + 1}/trouble"
    service = submission(
        "run-000004", shape="daemon", priority="production", estimated_s=0.0, cpus=1.0, spread=True
    )
    wait_for_status(first, "queued", msgspec.json.encode(service))
    until_serving(f"{last}/run-000004", 4)
    for cause in ("error", "done"):
        assert fetch(f"{faults}/end?piece=run-000004/1&cause={cause}", b"")[0] == 200
        time.sleep(1.5)  # until the worker's next heartbeat
        until_serving(f"{last}/run-000004", 4)
    _, machines = fetch(f"http://127.0.0.1:{base + 1}/machines")
    assert fetch(f"{faults}/lose?host={machines['hosts'][0]['ref']}", b"")[1] == {"lost": True}
    until_serving(f"{last}/run-000004", 4)
    wait_for_status(f"{last}/run-000004/cancel", "cancelled", b"")
    assert wait_for_status(f"{first}/run-000004", "cancelled")["status"] == "cancelled"


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        pytest.param(["--version"], 0, "ryewing 0.2.2", id="version"),
        pytest.param(["--help"], 0, "--config", id="help"),
        pytest.param(["check", "GOOD"], 0, "good for node n-0", id="good_settings"),
        pytest.param(["check", "BAD"], 1, "api_addr", id="bad_settings"),
        pytest.param(["check", "/nowhere.json"], 1, "No such file", id="no_settings"),
        pytest.param(["--policy", "LUA", "check", "GOOD"], 1, "unknown name", id="bad_policy"),
        pytest.param([], 2, "--config", id="no_arguments"),
    ],
)
def test_the_command_line_ends_with_code_and_message(
    tmp_path: Path, arguments: list[str], code: int, text: str
) -> None:
    (tmp_path / "GOOD").write_bytes(msgspec.json.encode(RAW_SETTINGS))
    (tmp_path / "BAD").write_bytes(msgspec.json.encode({**RAW_SETTINGS, "api_addr": "x"}))
    (tmp_path / "LUA").write_text("return {colour = 1}")
    result = subprocess.run(
        [sys.executable, str(ROOT / "run.py"), *arguments],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == code
    assert text in result.stdout + result.stderr

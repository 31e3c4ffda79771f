"""Loading of settings files and policy scripts."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from support.fakes import RAW_SETTINGS, policy, settings

from ryewing.config.policy import PolicyError, load_policy
from ryewing.config.settings import Settings, SettingsError
from ryewing.config.settings_file import load_settings


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (("node",), 3, "node"),
        (("api_addr",), "nowhere", "api_addr"),
        (("members", 0, "address"), "1.2.3.4", "members[0].address"),
        (("members", 1, "node"), "n-1", "members[1].node"),
        (("params", "workers", "lease_s"), 0.0, "params.workers.lease_s"),
        (("params", "workers", "cancel_s"), 10.0, "params.workers.cancel_s"),
        (("params", "state", "txn_ops"), "many", "params.state.txn_ops"),
        (("params", "teams", 0, "gpus"), -1.0, "params.teams[0].gpus"),
        (("endpoints",), {}, "endpoints"),
    ],
)
def test_error_names_the_invalid_field(
    tmp_path: Any, path: tuple[Any, ...], value: object, field: str
) -> None:
    raw = msgspec.json.decode(msgspec.json.encode(RAW_SETTINGS))
    parent = raw
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    file = tmp_path / "s.json"
    file.write_bytes(msgspec.json.encode(raw))
    with pytest.raises(SettingsError) as error:
        load_settings(file)
    assert field in str(error.value)


def test_unknown_fields_are_ignored(tmp_path: Any) -> None:
    file = tmp_path / "s.json"
    file.write_bytes(msgspec.json.encode({**RAW_SETTINGS, "new": {"x": 1}}))
    assert load_settings(file) == msgspec.convert(RAW_SETTINGS, Settings)


@pytest.mark.parametrize(
    ("script", "reason"),
    [
        ("return {", "expected"),
        ("return {idle_return = 3}", "unknown name"),
        ("return {idle_return_s = 'long'}", "must be a number"),
        ("return {idle_return_s = -1}", "above 0"),
        ("return {sample = 1.5}", "whole number"),
        ("return 7", "must return a table"),
        ("while true do end", "too long"),
        ("while true do pcall(function() while true do end end) end", "nil value"),
        ("return {hold_s = 1000}", "hold_s"),
        ("return os.execute('true')", "nil value"),
        ("return {x = string.rep('x', 1e9)}", "nil value"),
    ],
)
def test_invalid_script_is_rejected_with_file_and_reason(
    tmp_path: Any, script: str, reason: str
) -> None:
    file = tmp_path / "p.lua"
    file.write_text(script)
    with pytest.raises(PolicyError, match=reason) as error:
        load_policy(file, settings())
    assert "p.lua" in str(error.value)


def test_script_overrides_only_the_values_it_returns(tmp_path: Any) -> None:
    file = tmp_path / "p.lua"
    file.write_text("return {idle_return_s = math.max(90, 30), sample = 16}")
    changed = load_policy(file, settings())
    assert (changed.idle_return_s, changed.sample) == (90.0, 16)
    assert (
        msgspec.structs.replace(
            changed, idle_return_s=policy().idle_return_s, sample=policy().sample
        )
        == policy()
    )

"""Error messages for invalid fault scripts, and the combination of several fault rules on one link."""

from __future__ import annotations

from random import Random

import pytest

from myrtlespar.fault_proxy.faults import ActiveFaults, FaultRule
from myrtlespar.fleet_tests.script import ScriptError, parse

SCRIPT = "fleet: {sites: {a: 2, b: 1}, engine: false}\nlength_s: 9\n"


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("fleet: {sites: {a: 0}}\nlength_s: 9", "fleet.sites.a: expected a count"),
        ("fleet: {sites: {a: 1}, engine: 3}\nlength_s: 9", "fleet.engine: "),
        ("fleet: {sites: {a: 1}}", "length_s: missing"),
        (SCRIPT + "speed: 1", "speed: unknown key"),
        (SCRIPT + "limits: {x: {per_s: 0}}", "limits.x.per_s"),
        (SCRIPT + "judge: [verdicts]", "judge[0]: this build"),
        (SCRIPT + "judge: [joy]", "judge[0]: 'joy'"),
        (SCRIPT + "load: {rate: -1}", "load.rate: "),
        (SCRIPT + "load: {rate: 1, mix: {sell: 1}}", "load.mix.sell: unknown key"),
        (SCRIPT + "events: [{at_s: 1, kill: z9}]", "events[0].kill: no member"),
        (SCRIPT + "events: [{at_s: 1, kill: a1, pause: a1}]", "events[0]: expected one of"),
        (SCRIPT + "events: [{at_s: 10, kill: a1}]", "events[0].at_s: expected"),
        (SCRIPT + "events: [{at_s: 1, kill: a1, for_s: 2}]", "events[0].for_s: unknown key"),
        (SCRIPT + "events: [{at_s: 1, cut: [a1, site z]}]", "events[0].cut[1]: no member"),
        (SCRIPT + "events: [{at_s: 1, cut: [a1, engine]}]", "events[0]: engine: this"),
        (SCRIPT + "events: [{at_s: 1, link: [all, all], drop: 2}]", "events[0].drop: expected"),
        (SCRIPT + "events: [{at_s: 1, kill: a1}, {at_s: 2, leave: a1}]", "events[1].leave: a1 does not run"),
        ("a: [", "script: not YAML"),
        ("3", "script: expected a table"),
    ],
)
def test_an_error_in_a_script_is_one_line_naming_the_key(text: str, line: str) -> None:
    with pytest.raises(ScriptError) as caught:
        parse(text)
    message = str(caught.value)
    assert message.startswith(line), message
    assert "\n" not in message, message


def test_rules_of_links_add_up() -> None:
    faults = ActiveFaults()
    everyone = frozenset(("a1", "a2", "b1"))
    faults.add_rule(1, FaultRule(everyone, everyone, drop=0.5, delay_ms=10))
    faults.add_rule(2, FaultRule(frozenset(("a1",)), frozenset(("b1",)), one_way=True, cut=True))
    assert faults.link("a1", "b1").cut
    assert not faults.link("b1", "a1").cut
    assert faults.link("b1", "a1").drop == 0.5
    assert not faults.link("b1", "a1").is_reliable
    faults.remove_rule(1)
    assert faults.link("b1", "a1").is_reliable
    assert faults.link("a1", "b1").delays_ms(Random(1)) == []

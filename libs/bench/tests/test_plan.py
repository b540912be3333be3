"""Tests of the load tool's settings."""

import pathlib

import pytest
from sapphire_bench import plan
from sapphire_bench.cases import CASES
from sapphire_bench.plan import BenchSettings, CaseName
from sapphire_bench.run import fleet_spec, request_kinds, unbatched_capacity
from sapphire_config.settings import read_settings
from sapphire_core.errors import SettingsError

EXAMPLE = (
    pathlib.Path(__file__).parents[3] / "examples" / "bench" / "default.json"
)
MAX_PROCESSES = 60


@pytest.fixture
def settings():
    return read_settings(BenchSettings, str(EXAMPLE))


def test_example_fits_the_machine(settings):
    """Guards against a default run with too many processes."""
    for deployment in settings.deployments:
        fleet = fleet_spec(deployment)
        # Building the document checks it; an invalid one raises an error.
        fleet.document("127.1")
        vms = len(fleet.vms("127.1"))
        leaves = len(fleet.leaves("127.1"))
        assert 3 <= vms <= 4
        assert 12 <= leaves <= 20
        # Entry, aggregator and baseline on each VM; platform and VM list.
        assert 3 * vms + leaves + 2 < MAX_PROCESSES


def test_example_runs_every_case(settings):
    """Guards against a case that the default run does not exercise."""
    named = {c.case for d in settings.deployments for c in d.cases}
    assert named == set(CaseName) == set(CASES)


def test_unknown_setting_is_refused(tmp_path):
    """Guards against a misspelt setting that is silently ignored."""
    path = tmp_path / "bench.json"
    path.write_text(EXAMPLE.read_text().replace('"rate"', '"rates"'))
    with pytest.raises(SettingsError, match="rate"):
        read_settings(BenchSettings, str(path))


def test_shorten_keeps_the_cases_of_one_deployment(settings):
    """Guards against a smoke test that takes minutes."""
    short = plan.shorten(settings)
    assert len(short.deployments) == 1
    seconds = {c.seconds for c in short.deployments[0].cases}
    assert seconds == {settings.quick_seconds}


def test_select_cases_drops_deployments_without_a_case(settings):
    """Guards against starting fleets that run no case."""
    chosen = plan.select_cases(settings, [CaseName.RESTART])
    assert [c.case for d in chosen.deployments for c in d.cases] == ["restart"]


def test_kinds_split_the_load_by_weight(settings):
    """Guards against classes or services without load."""
    deployment = settings.deployments[0]
    found = request_kinds(deployment, deployment.services)
    assert len(found) == len(deployment.services) * len(deployment.classes)
    # The plan gives this service a weight of 3 out of 6.
    toxdesk = [k.weight for k in found if k.service == "toxdesk"]
    assert sum(toxdesk) / sum(k.weight for k in found) == 0.5


def test_capacity_counts_slots_of_all_replicas(settings):
    """Guards against an overload rate that the leaves can handle."""
    service = settings.deployments[0].services[0]
    # Replicas, slots of each, and queries/s of one slot at 100 ms each.
    assert unbatched_capacity(service, 100.0) == 2 * 2 * 10

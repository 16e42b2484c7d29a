import pytest

from lynxlanding_bench import fleet, processes


@pytest.fixture(scope="module")
def installation(tmp_path_factory):
    """Two daemons, four engines and a plain service as separate processes."""
    with processes.Processes(tmp_path_factory.mktemp("fleet")) as running:
        started = fleet.Fleet(running, daemons=2)
        started.start()
        yield started

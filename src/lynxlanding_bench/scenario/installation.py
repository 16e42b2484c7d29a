"""Stand-ins and nodes of a scenario."""

from lynxlanding_bench import fleet
from lynxlanding_bench.scenario import group_installation


def make(running, options):
    """Return the installation that the options of a scenario ask for; it is not started."""
    engine_options = ("--token-interval-ms", options["token_interval"] * 1000)
    if options["vms"]:
        return group_installation.GroupInstallation(
            running,
            vms=int(options["vms"]),
            group_vms=int(options["group_vms"]),
            groups=int(options["groups"]),
            daemons=int(options["nodes"]),
            engine_options=engine_options,
        )
    return fleet.Fleet(
        running,
        daemons=int(options["nodes"]),
        engines=int(options["engines"]),
        engine_options=engine_options,
        service_options=("--work-ms", options["service_time"] * 1000),
    )

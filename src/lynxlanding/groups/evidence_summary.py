"""Documents by which a node tells the others of its data centre what its probes gave.

The reports are published when they change; a small confirmation is published after each round of
probes. A confirmation names the version of the reports that it confirms, so that the two entries
cannot be combined wrongly when they arrive out of order.
"""

from lynxlanding.groups import engine_report

REPORTS_KEY = "probe-reports"
CONFIRMATION_KEY = "probe-confirmation"


def report_document(clock, version, reports):
    """Return the document of the reports.

    Parameters
    ----------
    clock : str
        Identity of the sender's clock; versions start again with every start of the sender.
    version : int
        Increases with each change of the reports.
    reports : dict of str to EngineReport
        Newest report of each VM that this node probes.
    """
    rows = {vm: _to_row(item) for vm, item in reports.items()}
    return {"clock": clock, "version": version, "reports": rows}


def confirmation_document(clock, version, now, alive_at, suspected, loads):
    """Return the document that confirms the reports.

    Parameters
    ----------
    clock : str
        Identity of the sender's clock.
    version : int
        Version of the reports that are confirmed.
    now : float
        Time of the sender's clock, in seconds.
    alive_at : float
        When the earliest of the newest successful probes of the confirmed VMs was sent.
    suspected : iterable of str
        VMs of the reports that are not confirmed, since their newest probe failed or is late.
    loads : dict of str to tuple of int
        Running and queued requests of the engines that have any. They change too often to be part
        of the reports.
    """
    return {
        "clock": clock,
        "version": version,
        "at": now,
        "age": now - alive_at,
        "not": sorted(suspected),
        "loads": loads,
    }


def parse_reports(document):
    """Return the reports by VM of a report document.

    Raises
    ------
    AttributeError, KeyError, TypeError, ValueError
        If the document is malformed.
    """
    return {str(vm): _from_row(row) for vm, row in document["reports"].items()}


def _to_row(report):
    return [
        report.instance,
        report.group,
        report.epoch,
        report.model,
        report.version,
        list(report.adapters),
        int(report.is_draining),
    ]


def _from_row(row):
    instance, group, epoch, model, version, adapters, is_draining = row
    return engine_report.EngineReport(
        str(instance),
        str(group),
        int(epoch),
        str(model),
        str(version),
        tuple(adapters),
        bool(is_draining),
    )

"""Documents that publish the probe results of a node to the other nodes of its data centre.

The reports are published when they change; a small confirmation is published after each round of
probes. A confirmation contains the version of the reports that it confirms, so that receivers do
not combine it with other reports when the two documents arrive out of order.
"""

from lynxlanding.groups import engine_report

REPORTS_KEY = "probe-reports"
CONFIRMATION_KEY = "probe-confirmation"


def report_document(clock, version, reports):
    """Return the document with the reports.

    Parameters
    ----------
    clock : str
        Identity of the sender's clock. It changes with every start of the sender, when the versions
        start from the beginning.
    version : int
        Number that increases with each change of the reports.
    reports : dict of str to EngineReport
        Newest report of each VM that this node probes.
    """
    rows = {vm: _to_row(item) for vm, item in reports.items()}
    return {"clock": clock, "version": version, "reports": rows}


def confirmation_document(clock, version, now, oldest_success_at, suspected, loads):
    """Return the document that confirms the reports.

    Parameters
    ----------
    clock : str
        Identity of the sender's clock.
    version : int
        Version of the confirmed reports.
    now : float
        Time of the sender's clock, in seconds.
    oldest_success_at : float
        Oldest send time among the newest successful probes of the confirmed VMs.
    suspected : iterable of str
        VMs in the reports that are not confirmed, because their newest probe failed or is too old.
    loads : dict of str to tuple of int
        Numbers of running and queued requests of the engines that have any. They change too often
        to be part of the reports.
    """
    return {
        "clock": clock,
        "version": version,
        "at": now,
        "age": now - oldest_success_at,
        "not": sorted(suspected),
        "loads": loads,
    }


def parse_reports(document):
    """Return the reports in a report document by VM.

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

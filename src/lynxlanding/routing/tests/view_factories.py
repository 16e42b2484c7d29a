"""Factories for endpoint views and load reports in tests."""

from lynxlanding.routing import endpoint_member, endpoint_view, load_report

SERVICE = "desk-model"


def make_addresses(count):
    return [f"10.0.{number // 250}.{number % 250}:8000" for number in range(count)]


def make_view(count, now=0.0):
    view = endpoint_view.EndpointView()
    members = [endpoint_member.EndpointMember(address) for address in make_addresses(count)]
    view.set_members(SERVICE, members, now)
    return view


def make_load_report(address, measured_at, running=0, **fields):
    fields.setdefault("instance", "i1")
    fields.setdefault("slots", 8)
    fields.setdefault("queued", 0)
    return load_report.LoadReport(address, running=running, measured_at=measured_at, **fields)

"""Builds views for tests."""

from lynxlanding.routing import endpoint_member, endpoint_view, load_report

SERVICE = "desk-model"


def addresses(count):
    return [f"10.0.{number // 250}.{number % 250}:8000" for number in range(count)]


def build(count, now=0.0):
    view = endpoint_view.EndpointView()
    members = [endpoint_member.EndpointMember(address) for address in addresses(count)]
    view.set_members(SERVICE, members, now)
    return view


def report(address, measured_at, running=0, **fields):
    fields.setdefault("instance", "i1")
    fields.setdefault("slots", 8)
    fields.setdefault("queued", 0)
    return load_report.LoadReport(address, running=running, measured_at=measured_at, **fields)

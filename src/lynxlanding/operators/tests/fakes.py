"""In-memory implementations of the interfaces that the admin API requires."""

import time

from lynxlanding.configuration import commit, snapshot, specs
from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.operators import history_entry
from lynxlanding.operators.view import cluster_view, rows


class FakeConfiguration:
    """``ConfigurationService`` in memory.

    The next ``lost_commit_responses`` commits are accepted but raise ``CommitOutcomeUnknown``. A
    ``commit_error`` other than None is raised by every commit that passes validation.
    """

    def __init__(self):
        self.entries = []
        self.lost_commit_responses = 0
        self.commit_error = None
        self.groups = {"g": specs.GroupSpec(model="m", replicas=3)}

    def snapshot(self):
        objects = {"groups": dict(self.groups), "models": {"m": specs.ModelSpec(version="v1")}}
        return snapshot.Snapshot(len(self.entries) + 1, "", objects)

    def find_change(self, change_id):
        for entry in self.entries:
            if entry.change_id == change_id:
                return entry
        return None

    def validate(self, request):
        problems = []
        for (kind, name), spec in request.change.puts.items():
            if kind == "groups" and spec.model != "m":
                path = f"groups/{name}.model"
                problems.append(configuration_errors.InvalidObject(path, "no such model"))
        return problems

    def commit(self, request):
        for problem in self.validate(request):
            raise problem
        if self.commit_error is not None:
            raise self.commit_error
        revision = len(self.entries) + 2
        self.entries.append(
            history_entry.HistoryEntry(
                revision, request.change_id, request.author, time.time(), request.statements
            )
        )
        for (_, name), spec in request.change.puts.items():
            self.groups[name] = spec
        if self.lost_commit_responses > 0:
            self.lost_commit_responses -= 1
            raise configuration_errors.CommitOutcomeUnknown("the store's answer was lost")
        return commit.CommitResult(revision, None, commit.COMMITTED, [])

    def history(self, limit):
        return list(reversed(self.entries))[:limit]


class FakeViewSource:
    def cluster_view(self, attributes):
        endpoint = rows.EndpointRow(
            "10.0.0.1:80", "desk", "m", "v1", "east", "f1", "g-1", "serving", "", 8, 2, 0, 2, 8
        )
        return cluster_view.ClusterView("n1", 4, endpoints=(endpoint,))


class FakeBurnReportSource:
    def burn_report(self):
        return {
            "generated_at": 0.0,
            "period_s": 2592000,
            "windows_s": [300, 3600],
            "nodes": [{"node": "n2", "age_s": 600.0, "is_late": True}],
            "rows": [
                {
                    "objective": "first_token",
                    "scope": "service",
                    "name": "desk",
                    "target": 0.95,
                    "good": 90,
                    "bad": 10,
                    "budget_left": -1.0,
                    "burn": {"300": 2.0, "3600": None},
                    "alert": "page",
                }
            ],
        }

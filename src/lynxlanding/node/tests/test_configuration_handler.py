from lynxlanding.node import configuration_handler, node_view
from lynxlanding.platform.tests import test_codecs
from lynxlanding.store import stored_object


class Answer:
    def get(self):
        return None


class Serving:
    def __init__(self):
        self.versions = []

    def use_configuration(self, configuration):
        self.versions.append(configuration.version)
        return Answer()


def stored(version, **changes):
    return stored_object.StoredObject(
        "config", "main", version, test_codecs.document(version=version, **changes)
    )


def make():
    serving = Serving()
    view = node_view.NodeView()
    seen = []
    handler = configuration_handler.ConfigurationHandler(serving, view, seen.append)
    return handler, serving, view, seen


def test_a_configuration_never_goes_back():
    """Guards against a list from before an outage that brings back removed routes and keys."""
    handler, serving, view, seen = make()
    handler.on_changes([stored(5)], [], 0.0, False)
    handler.on_list([stored(4)], 9, 1.0, True)
    handler.on_changes([stored(5)], [], 2.0, False)
    assert view.configuration_version == 5
    assert serving.versions == [5]
    assert len(seen) == 1


def test_an_unreadable_version_leaves_the_one_in_force():
    handler, serving, view, _ = make()
    handler.on_list([stored(5)], 1, 0.0, False)
    handler.on_changes([stored(6, routes="none")], [], 1.0, False)
    assert view.configuration_version == 5
    handler.on_changes([stored(7)], [], 2.0, False)
    assert serving.versions == [5, 7]


def test_other_objects_of_the_kind_are_no_configuration():
    handler, serving, view, _ = make()
    other = stored_object.StoredObject("config", "draft", 9, test_codecs.document(version=9))
    handler.on_list([other], 1, 0.0, False)
    assert view.configuration is None
    assert serving.versions == []

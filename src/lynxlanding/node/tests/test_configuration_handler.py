from lynxlanding.node import configuration_handler, node_status
from lynxlanding.peers import configuration_copies
from lynxlanding.platform.tests import test_codecs
from lynxlanding.store import store_version, stored_object


class CompletedFuture:
    def get(self):
        return None


class FakeServingActor:
    def __init__(self):
        self.versions = []

    def use_configuration(self, configuration):
        self.versions.append(configuration.version)
        return CompletedFuture()


def make_stored(version, **changes):
    return stored_object.StoredObject(
        "config",
        "main",
        store_version.StoreVersion(0, version),
        test_codecs.configuration_document(version=version, **changes),
    )


def make_handler():
    serving = FakeServingActor()
    status = node_status.NodeStatus()
    notified = []
    handler = configuration_handler.ConfigurationHandler(
        serving,
        status,
        notified.append,
        configuration_copies.ConfigurationCopies("config", None, None),
    )
    return handler, serving, status, notified


def test_older_configuration_is_ignored():
    """A list that is older than an outage must not restore removed routes and keys."""
    handler, serving, status, notified = make_handler()
    handler.on_changes([make_stored(5)], [], 6, 0.0, False)
    handler.on_list([make_stored(4)], 9, 1.0, True)
    handler.on_changes([make_stored(5)], [], 6, 2.0, False)
    assert status.configuration_version == 5
    assert serving.versions == [5]
    assert len(notified) == 1


def test_malformed_version_keeps_active_configuration():
    handler, serving, status, _ = make_handler()
    handler.on_list([make_stored(5)], 1, 0.0, False)
    handler.on_changes([make_stored(6, routes="none")], [], 7, 1.0, False)
    assert status.configuration_version == 5
    handler.on_changes([make_stored(7)], [], 8, 2.0, False)
    assert serving.versions == [5, 7]


def test_configuration_that_cannot_be_decoded_counts_as_read():
    """Guards against a relay of an earlier build that says that there is nothing newer."""
    copies = configuration_copies.ConfigurationCopies("config", None, None)
    status = node_status.NodeStatus()
    handler = configuration_handler.ConfigurationHandler(
        FakeServingActor(), status, lambda configuration: None, copies
    )
    usable, newer = make_stored(5), make_stored(6, routes="none")
    handler.on_list([usable], 6, 0.0, False)
    handler.on_changes([newer], [], 7, 1.0, False)
    assert (copies.number, copies.version, copies.latest) == (5, usable.version, newer.version)


def test_other_objects_of_the_kind_are_ignored():
    handler, serving, status, _ = make_handler()
    other = stored_object.StoredObject(
        "config", "draft", 9, test_codecs.configuration_document(version=9)
    )
    handler.on_list([other], 1, 0.0, False)
    assert status.configuration is None
    assert serving.versions == []

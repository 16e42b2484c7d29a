from lynxlanding.gateway import connection_bound
from lynxlanding.gateway.connection_bound import Activity, ConnectionState


def test_oldest_idle_connections_are_given_up_first():
    """Guards against silent connections that keep new callers out."""
    states = [
        ConnectionState("busy", Activity.BUSY, 0.0),
        ConnectionState("unread", Activity.UNREAD, 0.0),
        ConnectionState("arriving", Activity.ARRIVING, 1.0),
        ConnectionState("new idle", Activity.IDLE, 9.0),
        ConnectionState("old idle", Activity.IDLE, 2.0),
        ConnectionState("refused", Activity.REFUSED, 9.0),
    ]
    keys = [state.key for state in connection_bound.select(states, 6)]
    assert keys == ["refused", "old idle", "new idle", "arriving", "unread"]
    assert [state.key for state in connection_bound.select(states, 2)] == keys[:2]


def test_busy_connections_are_kept():
    """Guards against requests that are broken off because others connect."""
    states = [ConnectionState(number, Activity.BUSY, 0.0) for number in range(10)]
    assert connection_bound.select(states, 4) == []

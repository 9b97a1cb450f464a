import pytest

from jaypier.entry.capacity import RESERVED_DESCRIPTORS, CapacitySettings, ServerName


class TestCapacitySettings:
    def test_each_server_has_its_share_and_the_rest_is_left_for_outgoing_connections(self):
        settings = CapacitySettings(descriptors=1000)
        shares = {name: settings.for_server(name).max_connections for name in ServerName}
        assert shares == {
            ServerName.CALLERS: 250,
            ServerName.READY: 25,
            ServerName.METRICS: 12,
            ServerName.PEERS: 100,
            ServerName.OPERATORS: 12,
        }
        assert sum(shares.values()) <= settings.max_client_connections == 400

    def test_requests_of_callers_and_peers_leave_sockets_for_the_leader(self):
        settings = CapacitySettings(descriptors=1000)
        requests = {name: settings.for_server(name).max_requests for name in ServerName}
        assert requests[ServerName.CALLERS] == 100 and requests[ServerName.PEERS] == 50
        sockets = 1000 - RESERVED_DESCRIPTORS - settings.max_client_connections
        assert sum(requests.values()) < sockets / 2

    def test_every_server_accepts_some_connections(self):
        settings = CapacitySettings(descriptors=300, client_descriptor_share=0.01)
        assert all(settings.for_server(name).max_connections >= 4 for name in ServerName)

    def test_memory_of_clients_is_a_share_of_that_of_the_vm(self):
        assert CapacitySettings(memory_mb=200).max_client_bytes == 50 << 20
        assert CapacitySettings(memory_mb=200).max_received_bytes == 25 << 20

    @pytest.mark.parametrize(
        "values",
        [
            {"memory_mb": 49},
            {"client_memory_share": 0.95},
            {"descriptors": 299},
            {"client_descriptor_share": 0.0},
            {"client_descriptor_share": 1},
        ],
    )
    def test_values_out_of_range_are_refused(self, values):
        with pytest.raises(ValueError):
            CapacitySettings(**values)

"""Sockets for messages between daemons."""

import asyncio
from collections.abc import Callable

import pynng

from jaypier.core.metrics import Metrics
from jaypier.membership.errors import PeerMessageError
from jaypier.membership.messages import Message, Received, seal, unseal

SEND_QUEUE_MESSAGES = 64
"""Messages queued for a daemon that does not read; further ones are dropped."""

Receiver = Callable[[Received], None]


class PeerLinks:
    """Owns the listening socket and one sending socket for each other daemon.

    Messages are never waited for: one that cannot be queued is dropped and counted, since
    every message is repeated or repaired by polling.

    :param own_id: identity of this daemon.
    :param incarnation: start time of this process in nanoseconds.
    :param listen_address: ``"IP:PORT"``.
    :param secret: shared secret of the daemons.
    :param receiver: called with each authenticated message.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: int,
        listen_address: str,
        secret: bytes,
        receiver: Receiver,
        metrics: Metrics,
    ) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.listen_address = listen_address
        self.secret = secret
        self.receiver = receiver
        self.metrics = metrics
        self.sequence = 0
        self.senders: dict[str, pynng.Push0] = {}
        self.listener: pynng.Pull0 | None = None
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> "PeerLinks":
        self.listener = pynng.Pull0(listen=f"tcp://{self.listen_address}")
        self.task = asyncio.create_task(self.receive())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.listener.close()
        for sender in self.senders.values():
            sender.close()
        self.senders.clear()

    def connect(self, addresses: list[str]) -> None:
        """Open a socket for each address and close those for others."""
        wanted = set(addresses) - {self.listen_address}
        for address in set(self.senders) - wanted:
            self.senders.pop(address).close()
        for address in wanted - set(self.senders):
            self.senders[address] = pynng.Push0(
                dial=f"tcp://{address}",
                block_on_dial=False,
                send_buffer_size=SEND_QUEUE_MESSAGES,
                reconnect_time_min=100,
                reconnect_time_max=2000,
            )

    def send(self, address: str, message: Message) -> None:
        """Queue a message for one daemon."""
        sender = self.senders.get(address)
        if sender is None:
            return
        self.sequence += 1
        data = seal(message, self.own_id, self.incarnation, self.sequence, self.secret)
        try:
            sender.send(data, block=False)
        except pynng.exceptions.NNGException:
            self.metrics.count("peers.messages_dropped")
            return
        self.metrics.count("peers.messages_sent")
        self.metrics.count("peers.bytes_sent", len(data))

    def broadcast(self, message: Message, addresses: list[str] | None = None) -> None:
        """Queue a message for several daemons, all by default."""
        for address in list(self.senders) if addresses is None else addresses:
            self.send(address, message)

    async def receive(self) -> None:
        """Pass on received messages until cancelled."""
        while True:
            data = await self.listener.arecv()
            self.metrics.count("peers.bytes_received", len(data))
            try:
                self.receiver(unseal(data, self.secret))
            except PeerMessageError:
                self.metrics.count("peers.messages_refused")

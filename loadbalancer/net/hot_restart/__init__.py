"""Hot restart: a new process takes over the listening socket and the state of the serving process.

    predecessor = connect_to_predecessor(folder)             # in the new process, at its start
    HotRestartListener(folder, loop, process).start()        # in the serving process

The new process connects to a Unix socket in a folder that both may write, and receives the listening socket
and the state. Once it reports that it is ready, the old process stops accepting and, until it exits, sends
its descriptor counts. So the one accept queue is never closed, and exactly one process accepts from it.
"""

from loadbalancer.net.hot_restart.listener import HotRestartListener, ServingProcess
from loadbalancer.net.hot_restart.predecessor import Predecessor, connect_to_predecessor
from loadbalancer.net.hot_restart.protocol import DescriptorCounts

__all__ = [
    "DescriptorCounts",
    "HotRestartListener",
    "Predecessor",
    "ServingProcess",
    "connect_to_predecessor",
]

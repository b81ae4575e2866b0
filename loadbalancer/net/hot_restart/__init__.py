"""Hot restart: a new process takes the listening socket and the state over from the one that serves.

    predecessor = connect_to_predecessor(folder)             # in the new process, at its start
    HotRestartListener(folder, loop, process).start()        # in the process that serves

The new process connects to a Unix socket in a folder that both may write, and is sent the listening socket
and the state. When it is ready it says so; the older one then accepts no more and, until it ends, sends how
many descriptors it still has. So there is one accept queue, never closed, and one of the two accepts from it.
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

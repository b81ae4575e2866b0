"""The balancer's network side: everything between the sockets and the decision module."""

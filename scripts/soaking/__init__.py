"""Soak test of the router fleet: real node processes on loopback, with simulated model servers, clients and operator."""

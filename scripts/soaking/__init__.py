"""A soak of the fleet: real node processes on loopback, with stand-ins for model servers, clients and the operator."""

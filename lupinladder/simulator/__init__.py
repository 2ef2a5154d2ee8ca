"""The simulator adapter: the program that the simulator runs, a balancer behind its binary protocol."""

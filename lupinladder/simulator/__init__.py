"""The program that the simulator runs: the decisions behind its binary protocol."""

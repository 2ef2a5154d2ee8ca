"""The command line of `lupinladder`. Without arguments the program runs the proxy instead."""

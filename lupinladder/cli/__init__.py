"""The command line: `lupinladder` with arguments. Without any, the program is the proxy."""

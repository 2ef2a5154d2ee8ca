"""Who gets what is scarce. Free of I/O: `net/` reports and asks. See docs/governor.md."""

"""Coming back after a stop: what stored words may be used for, and what may be spent meanwhile. Free of I/O.

`trust` says what a word of some age and origin is good for; `comeback` is the machine of states with its
budgets; `recall` turns a store into what the decision module is told. See docs/recovery.md.
"""

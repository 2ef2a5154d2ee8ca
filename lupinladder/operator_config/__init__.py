"""The operator's own file, which switches on what the platform doesn't ask for; imported only with one.

- `settings`: its tables and their bounds
- `toml_decoder`: TOML files as typed structs, with the line of each fault
- `source_lines`: the line of each key in a TOML text
"""

"""The operator's file, which enables optional features; imported only if there is such a file.

- `settings`: the tables of the file and the bounds of their values
- `toml_decoder`: decodes TOML files into typed structs and reports errors with their line
- `source_lines`: finds the line of each key in a TOML text
"""

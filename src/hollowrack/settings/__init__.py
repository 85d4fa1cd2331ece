"""Settings of a node, from a TOML file, environment variables and command-line options."""

"""Settings of a node: one TOML file, environment variables and command-line flags."""

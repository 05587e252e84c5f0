"""Configuration in force and membership of upstreams."""

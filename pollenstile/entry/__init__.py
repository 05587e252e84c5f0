"""The daemon: HTTP faces, assembly and shutdown."""

"""The daemon ``jaypierd``: settings and the wiring of all slices."""

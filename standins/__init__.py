"""Stand-ins for the platform, workers and endpoints, and a deployment made of them.

They take the place of outside systems in the demonstration, tests and measurements, and are
not part of the package that ships.
"""

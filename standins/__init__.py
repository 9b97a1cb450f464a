"""Stand-ins for the platform and its workers, and a local deployment made of them.

They replace external systems in the demonstration, tests and measurements, and are not part of the
installed package.
"""

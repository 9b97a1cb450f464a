"""Where gangs run: pure decisions in one data centre, and who takes them."""

"""Callers' requests: routing to endpoints, limits, retries and truthful outcomes."""

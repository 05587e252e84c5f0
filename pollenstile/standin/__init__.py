"""Small fakes of each outside system."""

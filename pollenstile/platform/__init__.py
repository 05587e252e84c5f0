"""The platform's object API, host list and weight store."""

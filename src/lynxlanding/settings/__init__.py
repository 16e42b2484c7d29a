"""Settings files in YAML, validated with pydantic.

Nothing is imported here, so that a node loads only the models that it uses.
"""

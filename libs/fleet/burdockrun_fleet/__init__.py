"""Fleet library of burdockrun."""

__all__: list[str] = []

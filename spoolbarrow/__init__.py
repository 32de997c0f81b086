"""spoolbarrow: routing decisions for requests to fleets of language-model servers."""

from spoolbarrow.router import Router

__all__ = ["Router"]
__version__ = "0.1.0"

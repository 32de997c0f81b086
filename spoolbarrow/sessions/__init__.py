"""Sessions by behaviour, and cache kept for those who will come back; pure, imported only where it is on.

Begin with `part.py`: it ties the table, the evidence, the model and the ledger together.
"""

"""Prediction of sessions' returns by their behaviour, and cache reserved for them; pure, imported only if on.

Begin with `part.py`: it ties the session table, the turn counts, the model and the reservations together.
"""

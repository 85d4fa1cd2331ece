"""Stand-ins of outside services: engines, service workers, stores, machine list and trainer.

They implement the protocols of these services and simulate their faults. The tests, the demo and
the bench use them; the product does not import them.
"""

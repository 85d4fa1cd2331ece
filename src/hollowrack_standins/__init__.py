"""Small stand-ins of the platform: engines, service workers, stores, machine list and trainer.

They speak the published protocols, carry a switch for each fault, and are used by the tests, the
demonstration and the bench. The product never imports them.
"""

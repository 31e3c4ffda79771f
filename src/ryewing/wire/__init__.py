"""Every body that crosses the service's outside border, as typed messages.

The protocol's own names are JSON keys of these messages and appear nowhere else, records in the
store aside. The package imports nothing of ryewing; clients, the API and stored records use it.
"""

"""Every body that crosses the service's outside border, as a typed message.

The protocol's own names are JSON keys of these messages and appear nowhere else in the code, stored
records aside. The package may import only `ryewing.units`; clients, the API and stored records use
it.
"""

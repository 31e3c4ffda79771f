"""Typed messages for the request and response bodies of users, workers, the cloud and the store.

The names of the protocol are the JSON keys of these messages; apart from stored records, no other
code uses them. The package may import only `ryewing.units`; clients, the API and stored records use
it.
"""

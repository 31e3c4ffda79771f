"""Stand-ins of the platform for the cases 4 to 6: state service, cloud, workers and users.

They are written from `PROTOCOL-ryewing.md` alone, use only the standard library, and run in one
process, with one thread for each connection and each worker.
"""

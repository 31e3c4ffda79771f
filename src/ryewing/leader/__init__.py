"""One term of leadership: recovery, and the loops that bring what is to what is wanted.

Everything here ends with the term. It imports all packages below it and is started by a process's
leader elector; the process asks it about heartbeats and jobs.
"""

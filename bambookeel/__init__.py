"""bambookeel, a fleet capacity and maintenance manager.

The packages form stages: `core` holds plain data that all share; `consensus`,
`state`, `fleet` and `dispatch` hold decisions without input or output;
`storage`, `net` and `runtime` touch files, sockets and tasks; `api`, `daemons`
and `tools` are thin layers on top. Imports go downwards only.
"""

"""bambookeel, a fleet capacity and maintenance manager.

The packages form layers. `core` holds plain data types that all others share.
`consensus`, `state`, `fleet` and `dispatch` make decisions and do no I/O.
`storage`, `net` and `runtime` use files, sockets and tasks. `api`, `daemons`
and `tools` are thin layers on top. A package imports only from lower layers.
"""

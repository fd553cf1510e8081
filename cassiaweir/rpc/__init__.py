"""The gRPC messages and services of cassiaweir's own processes.

The package itself imports nothing: `cassiaweir.rpc._server` and `cassiaweir.rpc._peer`
load the gRPC library, so each module imports them directly if it needs them.  Command
line tools that run no server use less memory that way.
"""

"""The messages between cassiaweir's own processes and their generated code.

`cassiaweir.rpc._server` and `cassiaweir.rpc._peer` load the gRPC library and are
imported by their users alone, so that tools without a server stay small.
"""

"""Environment variables of `cassiaweir ctl`.

They have the prefix of settings, but are not settings of a process.
"""

CREDENTIAL_VARIABLE = "CASSIAWEIR_CREDENTIAL"
SERVER_VARIABLE = "CASSIAWEIR_SERVER"
CTL_VARIABLES = frozenset({CREDENTIAL_VARIABLE, SERVER_VARIABLE})

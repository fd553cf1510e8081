"""Environment variables of an operator's shell; they are no settings of a process."""

CREDENTIAL_VARIABLE = "CASSIAWEIR_CREDENTIAL"
SERVER_VARIABLE = "CASSIAWEIR_SERVER"
CTL_VARIABLES = frozenset({CREDENTIAL_VARIABLE, SERVER_VARIABLE})

"""The versioned configuration bundle and a process's view of it."""

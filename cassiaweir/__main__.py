"""Runs the command line with `python -m cassiaweir`."""

from cassiaweir.cmdline import main

if __name__ == "__main__":
    main()

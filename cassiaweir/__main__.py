"""Entry point of `python -m cassiaweir`."""

from cassiaweir.cmdline import main

if __name__ == "__main__":
    main()
